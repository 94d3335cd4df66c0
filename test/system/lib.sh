# Shared by the system tests: a site of real processes in a temporary folder,
# stopped however the test ends.
set -uo pipefail
BUILD=${1:?usage: TEST.sh BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
# shellcheck source=../../scripts/lib/site.sh
source "$ROOT/scripts/lib/site.sh"
SITE=$(mktemp -d)
FAILURES=0

cleanup() {
  site_stop "$SITE" >/dev/null 2>&1
  if [ "$FAILURES" -gt 0 ] && [ -n "${KEEP_SITE:-}" ]; then
    echo "kept $SITE"
  else
    rm -rf "$SITE"
  fi
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*"
  FAILURES=$((FAILURES + 1))
}

# expect WHAT COMMAND...
expect() {
  local what=$1
  shift
  if "$@"; then echo "ok: $what"; else fail "$what"; fi
}

# wait_until SECONDS COMMAND...: until the command succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# contains TEXT PART
contains() { case $1 in *"$2"*) return 0 ;; *) echo "  in: ${1:0:400}"; return 1 ;; esac; }

finish() {
  echo "$FAILURES failed"
  [ "$FAILURES" -eq 0 ] || { tail -n 5 "$SITE"/logs/entry-*.log 2>/dev/null; exit 1; }
}

# port N: where a test's site begins; PORT_OFFSET keeps two runs on one machine
# apart.
port() { echo $(($1 + ${PORT_OFFSET:-0})); }

entry_callers() { site_query "$SITE" "s['entries'][$1]['callers']"; }
entry_operators() { site_query "$SITE" "s['entries'][$1]['operators']"; }
all_callers() { site_query "$SITE" '",".join(e["callers"] for e in s["entries"])'; }
all_backends() { site_query "$SITE" '",".join(b["listen"] for b in s["backends"])'; }

# --- loads and histories --------------------------------------------------

now_ms() { python3 -c 'import time; print(round(time.monotonic() * 1000))'; }

# write_plan FILE CLASS...: a load plan of the given classes (JSON objects) for
# two large customers and a small one; PLAN_PHASES may hold its phases.
write_plan() {
  local file=$1 IFS=, classes
  shift
  classes="$*"
  cat >"$file" <<PLAN
{ "customers": {
    "sacco-01": { "api_key": "key-sacco-01", "share": 3 },
    "sacco-02": { "api_key": "key-sacco-02", "share": 2 },
    "sacco-04": { "api_key": "key-sacco-04", "share": 1 } },
  "classes": [ $classes ],
  "phases": [ ${PLAN_PHASES:-} ] }
PLAN
}

# stream_class NAME TIER RATE TOKENS [MORE]: streamed chat answers of a class.
stream_class() {
  echo "{ \"name\": \"$1\", \"tier\": $2, \"kind\": \"chat\", \"stream\": true,
    \"model\": \"cheque-reader\", \"rate\": $3,
    \"output_tokens\": { \"median\": $4, \"sigma\": 0.3, \"max\": $(($4 * 2)) },
    \"prompt_tokens\": { \"median\": 100, \"sigma\": 0.2, \"max\": 300 } ${5:-} }"
}

# posting_class RATE [MORE]: calls to a plain service that must not be repeated.
posting_class() {
  echo "{ \"name\": \"posting\", \"tier\": 0, \"kind\": \"plain\", \"rate\": $1,
    \"method\": \"POST\", \"path\": \"/exceptions\", \"idempotent\": false ${2:-} }"
}

# start_load PLAN SECONDS [options]: in the background; wait_load awaits it.
start_load() {
  local plan=$1 duration=$2
  shift 2
  mkdir -p "$SITE/records"
  "$BUILD/dogwoodvale-load" --target "$(all_callers)" --plan "$plan" \
    --duration "$duration" --drain 20 --seed 7 --history "$SITE/history.jsonl" \
    --engine-records "$(all_backends)" --records-dir "$SITE/records" \
    "$@" >"$SITE/load.txt" 2>&1 &
  LOAD_PID=$!
}

wait_load() {
  wait "$LOAD_PID" || { cat "$SITE/load.txt"; return 1; }
}

# promises_kept [options]: the checker's word on the history and the records.
promises_kept() {
  local records
  records=$(echo "$SITE"/records/*.json | tr ' ' ',')
  "$BUILD/dogwoodvale-check-history" --most 2 --records "$records" "$@" \
    "$SITE/history.jsonl"
}

# history_query EXPRESSION over the calls `c` and the executions `x`, each with
# its "server"; prints its value.
history_query() {
  python3 -c '
import glob, json, os, sys
site = sys.argv[1]
c = [json.loads(line) for line in open(site + "/history.jsonl")]
x = []
for path in glob.glob(site + "/records/*.json"):
    server = os.path.basename(path)[:-len(".json")]
    x += [dict(e, server=server) for e in json.load(open(path))["executions"]]
print(eval(sys.argv[2]))
' "$SITE" "$1"
}

# history_says WHAT EXPRESSION: expects it to be true; shows the call's facts.
history_says() {
  local value
  value=$(history_query "$2")
  if [ "$value" = True ]; then echo "ok: $1"; else fail "$1 ($value: $2)"; fi
}

# outcomes: how the calls ended, in one line.
outcomes() {
  history_query '" ".join(f"{k[0]}:{k[1]}:{k[2] or k[3]}={n}" for k, n in sorted(__import__("collections").Counter((e["class"], e["outcome"], e["code"], "") for e in c).items()))'
}

# backend_of SIDECAR: the address of the backend server in its slot.
backend_of() { site_query "$SITE" "[i['backend'] for i in s['sidecars'] if i['name'] == '$1'][0]"; }
operators_of() { site_query "$SITE" "[i['operators'] for i in s['sidecars'] + s['entries'] if i['name'] == '$1'][0]"; }

# fault ADDRESS JSON: sets a stand-in's faults.
fault() { curl -s -m 3 -o /dev/null -d "$2" "http://$1/standin/fault"; }

# has_executed ADDRESS COUNT: the stand-in has been given so many requests.
has_executed() {
  curl -s -m 3 "http://$1/standin/record" | python3 -c '
import json, sys
sys.exit(len(json.load(sys.stdin)["executions"]) < int(sys.argv[1]))' "$2"
}

# edit_settings PATTERN PYTHON: runs the statement over each matching daemon's
# settings `s`; before site_start.
edit_settings() {
  python3 -c '
import glob, json, sys
for path in glob.glob(sys.argv[1]):
    s = json.load(open(path))
    exec(sys.argv[2])
    json.dump(s, open(path, "w"), indent=2)
' "$SITE/settings/$1.json" "$2"
}

# copy_configuration SED-SCRIPT...: the example's configuration with its
# services edited; prints the copy's path.
copy_configuration() {
  cp -r "$ROOT/examples/nairobi/configuration" "$SITE/configuration"
  sed -i "$@" "$SITE"/configuration/{services,templates}.json
  echo "$SITE/configuration"
}
