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

# contains TEXT PART
contains() { case $1 in *"$2"*) return 0 ;; *) echo "  in: ${1:0:400}"; return 1 ;; esac; }

finish() {
  echo "$FAILURES failed"
  [ "$FAILURES" -eq 0 ] || { tail -n 5 "$SITE"/logs/entry-*.log 2>/dev/null; exit 1; }
}

entry_callers() { site_query "$SITE" "s['entries'][$1]['callers']"; }
entry_operators() { site_query "$SITE" "s['entries'][$1]['operators']"; }
all_callers() { site_query "$SITE" '",".join(e["callers"] for e in s["entries"])'; }
all_backends() { site_query "$SITE" '",".join(b["listen"] for b in s["backends"])'; }
