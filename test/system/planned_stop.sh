#!/usr/bin/env bash
# Under load an entry and two sidecars get SIGTERM, and a third sidecar is told
# to drain. Each first says so (not ready; a go-away to its entries), hands back
# what is only queued, finishes what runs, and exits by itself. A caller sees
# nothing of it: queued work goes to another server, and no answer is cut. A
# balancer that asks every 200 ms stands before the entries, as at the users'.
source "$(dirname "$0")/lib.sh"

# As site_spawn, but keeps the exit code in DIR/exits/NAME.
site_spawn() {
  local dir=$1 name=$2
  shift 2
  mkdir -p "$dir/pids" "$dir/logs" "$dir/exits"
  (
    "$@" >>"$dir/logs/$name.log" 2>&1 &
    echo $! >"$dir/pids/$name"
    wait $!
    echo $? >"$dir/exits/$name"
  ) &
  disown $!
}

exits_by_itself() {
  local tries=0
  until [ -s "$SITE/exits/$1" ]; do
    [ "$((tries += 1))" -le 150 ] || return 1
    sleep 0.1
  done
  [ "$(cat "$SITE/exits/$1")" = 0 ] || { cat "$SITE/exits/$1"; return 1; }
  rm "$SITE/pids/$1"
}

export SITE_NO_PLATFORM=1 SITE_SERVICE_OPTIONS="--delay-ms 150"
site_make nairobi "$SITE" "$(port 22300)" --scale 0.5 --static --no-platform \
  --configuration-file "$ROOT/examples/nairobi/configuration"
# Few at once, so that work waits in the queues that are handed back.
edit_settings 'sidecar-teller*' \
  's["sidecar"].update(max_concurrency=2, adaptive_concurrency=False)'
edit_settings 'sidecar-cheque*' \
  's["sidecar"].update(max_concurrency=5, adaptive_concurrency=False)'
# Shorter than the longest answers, so that the entry has to wait for them.
edit_settings 'entry*' 's["entry"]["drain_grace_ms"] = 1000'
site_start "$SITE" "$BUILD"
expect "entries become ready" site_wait_ready "$SITE" 15

entry=entry-dc2-1
engine=sidecar-cheque-reading-01
drained=sidecar-cheque-reading-02
plain=sidecar-teller-application-01
server_name() { backend_of "$1" | tr : -; }

write_plan "$SITE/plan.json" "$(stream_class teller 0 15 60)" \
  "$(stream_class desk 1 4 400)" "$(posting_class 12)"
start_load "$SITE/plan.json" 8 --ready-path /readyz \
  --ready-targets "$(site_query "$SITE" '",".join(e["operators"] for e in s["entries"])')"
expect "the engine is at work" wait_until 10 has_executed "$(backend_of "$engine")" 5
curl -s -N -m 20 "http://$(entry_callers 1)/v1/chat/completions" \
  -H 'Authorization: Bearer key-sacco-01' -H 'X-Dogwoodvale-Class: desk' \
  -d '{"model":"cheque-reader","stream":true,"max_tokens":500,
       "messages":[{"role":"user","content":"nonce=long len=400"}]}' \
  >"$SITE/long.txt" &
long_pid=$!
sleep 0.3
kill -TERM "$(site_pid "$SITE" "$entry")"
engine_left=$(now_ms)
kill -TERM "$(site_pid "$SITE" "$engine")"
sleep 0.5
drain_left=$(now_ms)
curl -s -m 3 -o /dev/null -X POST "http://$(operators_of "$drained")/drain"
plain_left=$(now_ms)
kill -TERM "$(site_pid "$SITE" "$plain")"
expect "the load ends" wait_load

echo "outcomes: $(outcomes)"
expect "nothing is cut, and servers that leave get no new work" promises_kept --no-cuts \
  --left "$(server_name "$engine")=$engine_left,$(server_name "$drained")=$drain_left,$(server_name "$plain")=$plain_left"
history_says "every call has its own whole answer" \
  "all(e['outcome'] == 'complete' for e in c)"
# Which call it was and what it was told, for the one who reads a failure.
grep -h '"outcome"' "$SITE/history.jsonl" | grep -v '"complete"' | head -n 5
wait "$long_pid"
expect "an answer that outlasts the entry's grace time comes whole" \
  contains "$(tail -c 400 "$SITE/long.txt")" 'data: [DONE]'
for server in "$engine" "$drained" "$plain"; do
  history_says "$server had work when it was told to leave" \
    "any(e['server'] == '$(server_name "$server")' and e['started_ms'] < $drain_left and e['ended_ms'] > $engine_left for e in x)"
done
for name in "$entry" "$engine" "$plain"; do
  expect "$name exits by itself with code 0" exits_by_itself "$name"
done
expect "the drained sidecar goes on running" kill -0 "$(site_pid "$SITE" "$drained")"
expect "all processes stop as planned" site_stop "$SITE"
finish
