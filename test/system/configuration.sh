#!/usr/bin/env bash
# An operator changes the configuration of a running site. Each change is in
# force in every process; then the store goes down, a process is replaced
# meanwhile, and the store comes back from an old backup. Callers are served
# throughout by what was accepted last, and the tool puts the store right.
source "$(dirname "$0")/lib.sh"

site_make nairobi "$SITE" 25400 --scale 0.34
site_start "$SITE" "$BUILD"
platform=$(site_query "$SITE" 's["store"][0]')
ctl() { "$BUILD/dogwoodvalectl" "$@" --site "$SITE/site.json"; }
fault() { curl -s -m 5 -o /dev/null "http://$platform/standin/fault" -d "$1"; }
exits() { local want=$1; shift; "$@" >"$SITE/out" 2>&1; [ $? -eq "$want" ] || { cat "$SITE/out"; return 1; }; }

expect "the first configuration is in force everywhere" \
  exits 0 ctl config apply "$ROOT/examples/nairobi/configuration" --wait --timeout-ms 15000
expect "entries become ready" site_wait_ready "$SITE" 15

cp -r "$ROOT/examples/nairobi/configuration" "$SITE/changed"
sed -i 's/"weight": 4/"weight": 5/' "$SITE/changed/customers.json"
backup=$(curl -s -m 5 "http://$platform/standin/calls" |
  python3 -c 'import json, sys; print(json.load(sys.stdin)["revision"])')
expect "a change is in force everywhere within two seconds" \
  exits 0 ctl config apply "$SITE/changed" --wait --timeout-ms 2000
cat "$SITE/out"
expect "of two operators the late one is told" \
  exits 2 ctl config apply "$ROOT/examples/nairobi/configuration" --expect-epoch 1
expect "and shown what the other changed" contains "$(cat "$SITE/out")" "customer_templates/large-sacco/customer/weight: 4 -> 5"

orders_done() {
  local end=$((SECONDS + 40))
  until ctl orders --json | python3 -c '
import json, sys
items = [i["state"] for s in json.load(sys.stdin)["slots"] for i in s["items"]]
sys.exit(0 if items and set(items) == {"done"} else 1)'; do
    [ "$SECONDS" -lt "$end" ] || { ctl orders; return 1; }
    sleep 0.5
  done
}
expect "the engines hold the wanted version" orders_done

fault '{"down":true,"restart":true}'
entry=$(site_query "$SITE" 's["entries"][0]["name"]')
kill -KILL "$(site_pid "$SITE" "$entry")"
sleep 0.3
site_start_daemon "$SITE" "$BUILD" "$entry"
expect "an entry that starts while the store is down becomes ready" site_wait_ready "$SITE" 15
status=$(curl -s -m 5 "http://$(entry_operators 0)/statusz")
expect "with the epoch of its peers" contains "$status" '"epoch" : 2,'
answer=$(curl -s -m 5 "http://$(entry_callers 0)/v1/chat/completions" -H 'Authorization: Bearer key-sacco-01' \
  -d '{"model":"cheque-reader","messages":[{"role":"user","content":"nonce=abc len=3"}]}')
expect "and serves callers" contains "$answer" '"content":"abc.0 abc.1 abc.2 "'
expect "a change is refused while the store is down, and said to be so" \
  exits 4 ctl config apply "$SITE/changed" --call-timeout-ms 300

fault "{\"clear\":true,\"roll_back_to_revision\":$backup,\"restart\":true}"
sleep 6
expect "a store from an old backup is noticed" exits 6 ctl config status
expect "nothing went back" contains "$(ctl config status --json)" '"epoch" : 2,'
expect "the tool puts the fleet's configuration back" exits 0 ctl config repair
expect "and store and fleet agree" exits 0 ctl config status
expect "the next change goes on above it" \
  exits 0 ctl config apply "$ROOT/examples/nairobi/configuration" --wait --timeout-ms 5000
expect "with the next epoch" contains "$(cat "$SITE/out")" "accepted: epoch 3"

finish
