#include <cstdio>
#include <cstdlib>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

/// \file
/// Copies bytes between each connection that it accepts and one to a fixed
/// address, and does nothing else: what a process that decides is measured
/// against. Usage: bare_relay LISTEN TARGET

namespace {

sockaddr_storage gTarget{};
int gTargetSize = 0;

bool
ParseAddress(const char* aText, sockaddr_storage& aAddress, int& aSize)
{
  aSize = sizeof aAddress;
  return evutil_parse_sockaddr_port(
           aText, reinterpret_cast<sockaddr*>(&aAddress), &aSize) == 0;
}

void
OnReadable(bufferevent* aFrom, void* aTo)
{
  bufferevent_read_buffer(
    aFrom, bufferevent_get_output(static_cast<bufferevent*>(aTo)));
}

void
OnEvent(bufferevent* aEnd, short aEvents, void* aOther)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  bufferevent_free(static_cast<bufferevent*>(aOther));
  bufferevent_free(aEnd);
}

void
OnAccept(evconnlistener* aListener,
         evutil_socket_t aSocket,
         sockaddr* /*aFrom*/,
         int /*aSize*/,
         void* /*aSelf*/)
{
  event_base* base = evconnlistener_get_base(aListener);
  bufferevent* caller =
    bufferevent_socket_new(base, aSocket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent* server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(caller, OnReadable, nullptr, OnEvent, server);
  bufferevent_setcb(server, OnReadable, nullptr, OnEvent, caller);
  bufferevent_enable(caller, EV_READ | EV_WRITE);
  bufferevent_enable(server, EV_READ | EV_WRITE);
  bufferevent_socket_connect(
    server, reinterpret_cast<sockaddr*>(&gTarget), gTargetSize);
}

} // namespace

int
main(int aCount, char** aWords)
{
  sockaddr_storage listen{};
  int size = 0;
  if (aCount != 3 || !ParseAddress(aWords[1], listen, size) ||
      !ParseAddress(aWords[2], gTarget, gTargetSize)) {
    std::fprintf(stderr, "usage: bare_relay LISTEN TARGET\n");
    return EXIT_FAILURE;
  }
  event_base* base = event_base_new();
  constexpr int kBacklog = 1024;
  evconnlistener* listener =
    evconnlistener_new_bind(base,
                            OnAccept,
                            nullptr,
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                            kBacklog,
                            reinterpret_cast<sockaddr*>(&listen),
                            size);
  if (listener == nullptr) {
    std::fprintf(stderr, "bare_relay: cannot listen on %s\n", aWords[1]);
    return EXIT_FAILURE;
  }
  event_base_dispatch(base);
  evconnlistener_free(listener);
  event_base_free(base);
  return EXIT_SUCCESS;
}
