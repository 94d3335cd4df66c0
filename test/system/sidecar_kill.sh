#!/usr/bin/env bash
# A sidecar is killed while it has work, and started again: its connections
# break, the new incarnation knows nothing of what the old one started, so no
# one can say of a posting under way that it was not run. Its caller is told
# may_have_run, and nothing sends it again; streams go on elsewhere. Then a plain
# service executes postings and crashes before it answers: again the caller is
# told may_have_run, once, and the posting stands in the records once.
source "$(dirname "$0")/lib.sh"

# With the platform, since keyed postings are claimed in its store.
export SITE_SERVICE_OPTIONS="--delay-ms 60"
site_make nairobi "$SITE" "$(port 22100)" --scale 0.5 --static \
  --configuration-file "$ROOT/examples/nairobi/configuration"
# Few at once, so that some postings wait in the sidecars' queues.
edit_settings 'sidecar-teller*' \
  's["sidecar"].update(max_concurrency=2, adaptive_concurrency=False)'
site_start "$SITE" "$BUILD"
expect "entries become ready" site_wait_ready "$SITE" 15

plain=sidecar-teller-application-01
engine=sidecar-cheque-reading-01
kill_sidecar() {
  kill -KILL "$(site_pid "$SITE" "$1")"
  rm "$SITE/pids/$1"
}

write_plan "$SITE/plan.json" "$(stream_class teller 0 15 50)" \
  "$(posting_class 45 ', "keyed": 0.5, "retry": { "max": 3 }')"
# Longer than the faults take on a busy machine.
start_load "$SITE/plan.json" 16
expect "the service is at work" wait_until 10 has_executed "$(backend_of "$plain")" 20
# Slow, so that there are surely postings under way when its sidecar dies.
fault "$(backend_of "$plain")" '{"slow":10}'
sleep 0.5
killed=$(now_ms)
kill_sidecar "$plain"
kill_sidecar "$engine"
fault "$(backend_of "$plain")" '{"clear":true}'
sleep 1
restarted=$(now_ms)
site_start_daemon "$SITE" "$BUILD" "$plain"
site_start_daemon "$SITE" "$BUILD" "$engine"
sleep 3
crashed=$(now_ms)
fault "$(backend_of sidecar-teller-application-02)" '{"crash":true}'
sleep 0.3
fault "$(backend_of sidecar-teller-application-02)" '{"clear":true}'
cleared=$(now_ms)
expect "the load ends" wait_load

echo "outcomes: $(outcomes)"
history_says "the load outlasts the faults" \
  "max(e['sent_ms'] for e in c) > $cleared"
expect "promises are kept" promises_kept
unsure='[e for e in c if e.get("disposition") == "may_have_run"]'
history_says "the killed sidecar left postings in doubt" \
  "sum(e['sent_ms'] < $killed < e['ended_ms'] + 500 for e in $unsure) > 0"
history_says "the crashing service left postings in doubt, run once each" \
  "sum(e['end'] == 'crashed' for e in x) == sum(e['ended_ms'] > $crashed for e in $unsure) > 0"
history_says "doubt is told at once, and only of calls under way at a fault" \
  "all($killed - 50 < e['ended_ms'] < $killed + 700 or $crashed - 50 < e['ended_ms'] < $cleared + 700 for e in $unsure)"
history_says "all other calls complete, streams too" \
  "all(e['outcome'] == 'complete' or e in $unsure and e['class'] == 'posting' or e.get('disposition') == 'not_run' and any(f['call'] == e['call'] and f['attempt'] > e['attempt'] for f in c) for e in c)"
history_says "the restarted sidecars get work again" \
  "len({e['server'] for e in x if e['started_ms'] > $restarted and e['server'] in ('$(backend_of "$plain" | tr : -)', '$(backend_of "$engine" | tr : -)')}) == 2"
expect "all processes stop as planned" site_stop "$SITE"
finish
