#!/usr/bin/env bash
# A caller posts an exception with an Idempotency-Key and repeats it, as it
# would after a lost answer; the second must not run. Then the store loses the
# reply to a claim that took effect, and then it is down: the caller is told
# that nothing was run, while posts without a key go on.
source "$(dirname "$0")/lib.sh"

site_make nairobi "$SITE" 21200 --scale 0.17
site_start "$SITE" "$BUILD"
store=$(site_query "$SITE" 's["store"][0]')
expect "the configuration is accepted and in force everywhere" \
  "$BUILD/dogwoodvalectl" config apply "$ROOT/examples/nairobi/configuration" \
  --store "$store" --wait --site "$SITE/site.json"
expect "entries become ready" site_wait_ready "$SITE" 10

service=$(site_query "$SITE" '[b["listen"] for b in s["backends"] if b["kind"] == "plain"][0]')
key='Authorization: Bearer key-sacco-01'
post() { # ENTRY NONCE [KEY]
  curl -s -m 5 -w ' %{http_code}' "http://$(entry_callers "$1")/exceptions" -H "$key" \
    ${3:+-H "Idempotency-Key: $3"} -d "nonce=$2"
}
executions() { # NONCE
  curl -s "http://$service/standin/record" | python3 -c '
import json, sys
print(sum(e["nonce"] == sys.argv[1] for e in json.load(sys.stdin)["executions"]))' "$1"
}
fault() { curl -s -o /dev/null "http://$store/standin/fault" -d "$1"; }

expect "the first post runs" contains "$(post 0 first k1)" ' 200'
answer=$(post 1 first k1)
expect "a repeat through another entry is told apart" contains "$answer" '"code":"duplicate_key"'
expect "with its own status" contains "$answer" ' 409'
expect "and ran once" test "$(executions first)" = 1

fault '{"lose_replies": 1}'
expect "a claim whose reply was lost is settled and runs" contains "$(post 0 lost k2)" ' 200'
expect "once" test "$(executions lost)" = 1
expect "a repeat of it does not run" contains "$(post 2 lost k2)" 'duplicate_key'

fault '{"down": true}'
answer=$(post 0 dark k3)
expect "with the store down a keyed post is refused" contains "$answer" '"code":"store_unavailable","disposition":"not_run"'
expect "and did not run" test "$(executions dark)" = 0
expect "an unkeyed post goes on" contains "$(post 0 plain)" ' 200'
fault '{"clear": true}'
accepted() { contains "$(post 0 dark k3)" ' 200'; }
expect "with the store back the refused post may be repeated" wait_until 10 accepted
expect "and ran once" test "$(executions dark)" = 1

expect "all processes stop as planned" site_stop "$SITE"
finish
