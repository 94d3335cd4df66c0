#!/usr/bin/env bash
# A caller streams an answer while the engine that writes it crashes: the
# sidecar sees its connection cut and tells the entry, which asks another engine
# to go on from what was delivered. The caller sees a pause, then the rest of its
# own answer. It happens twice, to two engines, so that some answers are moved
# while other engines hold more than their share. Without the resume the caller
# would get the beginning of an answer and an error.
source "$(dirname "$0")/lib.sh"

export SITE_NO_PLATFORM=1
site_make nairobi "$SITE" "$(port 22000)" --scale 0.25 --static --no-platform \
  --configuration-file "$ROOT/examples/nairobi/configuration"
site_start "$SITE" "$BUILD"
expect "entries become ready" site_wait_ready "$SITE" 15

write_plan "$SITE/plan.json" "$(stream_class teller 0 15 60)" "$(stream_class desk 1 5 150)"
start_load "$SITE/plan.json" 7
# Each engine crashes when it has just sent the 5th token of a stream that has
# more to come: at a moment of the clock's it may be writing nothing.
crash_while_writing() {
  local engine
  engine=$(backend_of "$1")
  fault "$engine" '{"crash_while_writing":5}'
  wait_until 10 has_crashed "$engine"
}
has_crashed() { curl -s -m 3 "http://$1/standin/record" | grep -q '"crashed"'; }
expect "the first engine crashes" crash_while_writing sidecar-cheque-reading-01
# An answer that both crashes cut would be out of attempts, and rightly fail.
moved_answers_ended() {
  local engine
  for engine in $(all_backends | tr , ' '); do
    curl -s -m 3 "http://$engine/standin/record" | python3 -c '
import json, sys
sys.exit(any(e.get("resumed_tokens") and e["end"] == "running"
             for e in json.load(sys.stdin)["executions"]))' || return 1
  done
}
sleep 0.5 # the entries notice and send the answers on
expect "the answers that were moved end" wait_until 10 moved_answers_ended
expect "the second engine crashes" crash_while_writing sidecar-cheque-reading-02
expect "the load ends" wait_load

echo "outcomes: $(outcomes)"
expect "promises are kept" promises_kept
history_says "both crashes cut answers in the middle" \
  'len({e["server"] for e in x if e["end"] == "crashed" and e["tokens"] > 0}) == 2'
history_says "every caller has its own whole answer" \
  'all(e["outcome"] == "complete" for e in c) and len(c) > 100'
# A few tokens may be lost on the way out of the crashing engine.
history_says "cut answers went on elsewhere from what was delivered" \
  'all(any(f["nonce"] == e["nonce"] and f["resumed_tokens"] >= e["tokens"] - 4 for f in x) for e in x if e["end"] == "crashed" and e["tokens"] > 4)'
expect "all processes stop as planned" site_stop "$SITE"
finish
