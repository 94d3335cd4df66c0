#!/usr/bin/env bash
# Callers get whole answers through separate processes: entry, sidecar and
# backend server, streamed, at once, and from a plain service.
source "$(dirname "$0")/lib.sh"

export SITE_NO_PLATFORM=1
site_make nairobi "$SITE" 21100 --scale 0.17 --static --no-platform \
  --configuration-file "$ROOT/examples/nairobi/configuration"
site_start "$SITE" "$BUILD"
expect "entries become ready" site_wait_ready "$SITE" 10

entry=$(entry_callers 0)
key='Authorization: Bearer key-sacco-01'
body='{"model":"cheque-reader","messages":[{"role":"user","content":"nonce=abc len=7"}]}'

answer=$(curl -s -m 5 "http://$entry/v1/chat/completions" -H "$key" -d "$body")
expect "a chat answer is whole" contains "$answer" '"content":"abc.0 abc.1 abc.2 abc.3 abc.4 abc.5 abc.6 "'

answer=$(curl -s -m 5 "http://$entry/v1/chat/completions" -H "$key" -d "${body/\{/\{\"stream\":true,}")
expect "a streamed answer has its last token" contains "$answer" '"content":"abc.6 "'
expect "a streamed answer says that it is whole" contains "$answer" 'data: [DONE]'

answer=$(curl -s -m 5 "http://$entry/v1/completions" -H "$key" -d '{"model":"cheque-reader","prompt":"nonce=xy len=2"}')
expect "a text completion is whole" contains "$answer" '"text":"xy.0 xy.1 "'

answer=$(curl -s -m 5 "http://$entry/exceptions" -H "$key" -d 'nonce=post1')
expect "a plain call comes back whole" contains "$answer" '"body":"nonce=post1"'

answer=$(curl -s -m 5 "http://$entry/v1/models" -H "$key")
expect "models are listed" contains "$answer" '"id" : "cheque-reader"'

answer=$(curl -s -m 5 -w ' %{http_code}' "http://$entry/v1/models" -H 'Authorization: Bearer wrong')
expect "a wrong key is refused" contains "$answer" '"code":"unauthorized","disposition":"not_run"'
expect "with its own status" contains "$answer" ' 401'

answer=$(curl -s -m 5 -w ' %{http_code}' "http://$entry/v1/chat/completions" -H "$key" -d '{"model":"nope","messages":[{"role":"user","content":"x"}]}')
expect "an unknown model is named" contains "$answer" '"code":"unknown_model"'

answer=$(curl -s -m 5 -w ' %{http_code}' "http://$entry/v1/chat/completions" -H "$key" -d '{"model":')
expect "a malformed body is refused" contains "$answer" '"code":"bad_request"'

expect "all processes stop as planned" site_stop "$SITE"
finish
