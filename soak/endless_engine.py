#!/usr/bin/env python3
"""An engine that never ends its answers: endless_engine.py PORT VARIANT."""

import asyncio
import re
import sys

FILLER = b"x" * 60_000
SEAL = "Dogwoodvale-Response-Seal: a seal\r\n"
FOREIGN = (f"HTTP/1.1 200 OK\r\nDogwoodvale-Attempt-Id: another\r\n{SEAL}"
           f"Content-Length: {len(FILLER)}\r\n\r\n").encode() + FILLER


def answer(ident, *fields):
    lines = "".join(f"{field}\r\n" for field in fields)
    return f"HTTP/1.1 200 OK\r\nDogwoodvale-Attempt-Id: {ident}\r\n{SEAL}{lines}\r\n".encode()


def chunked(ident):
    return answer(ident, "Transfer-Encoding: chunked")


# Of an attempt's id: what is sent once, and what is sent again and again.
VARIANTS = {
    "no_http": lambda _: (b"", FILLER),
    "head_lines": lambda _: (b"HTTP/1.1 200 OK\r\n", b"X-Filler: and so on\r\n" * 3000),
    "interim_heads": lambda _: (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "body_until_close": lambda i: (answer(i), FILLER),
    "body_by_length": lambda i: (answer(i, "Content-Length: 9000000000"), FILLER),
    "body_in_chunks": lambda i: (chunked(i), b"%x\r\n%s\r\n" % (len(FILLER), FILLER)),
    "one_chunk": lambda i: (chunked(i) + b"7fffffff\r\n", FILLER),
    "size_of_chunk": lambda i: (chunked(i), b"0" * 60_000),
    "one_event": lambda i: (answer(i, "Content-Type: text/event-stream") + b"id: 1\ndata: ",
                            FILLER),
    "foreign_answers": lambda _: (b"", FOREIGN),
}


async def serve(reader, writer, variant):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        if head.startswith("GET /bytes "):
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(str(sent))}\r\n\r\n{sent}"
                         .encode())
            return
        ident = re.search(r"Dogwoodvale-Attempt-Id: (\S+)", head, re.IGNORECASE)
        once, repeated = VARIANTS[variant](ident.group(1) if ident else "none")
        writer.write(once)
        while True:
            writer.write(repeated)
            await writer.drain()
            count(len(repeated))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


sent = 0


def count(size):
    global sent
    sent += size


async def main():
    port, variant = int(sys.argv[1]), sys.argv[2]
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, variant), "127.0.0.1", port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
