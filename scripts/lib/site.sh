# Starts and stops a whole example site of real processes on loopback.
# Sourced by scripts/quickstart, the system tests and the benchmarks.
#
#   site_make SITE DIR BASE_PORT [make-site options]
#   site_start DIR BUILD          platform, stand-ins, sidecars, entries
#   site_wait_ready DIR [SECONDS] until every entry is ready
#   site_stop DIR                 planned stop of all; returns 1 if one hung
#
# Processes are known by DIR/pids/NAME; their logs are DIR/logs/NAME.log.
# Set before site_start: SITE_ENGINE_OPTIONS, SITE_SERVICE_OPTIONS,
# SITE_PLATFORM_OPTIONS.

SITE_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)

site_make() {
  local site=$1 dir=$2 port=$3
  shift 3
  # The stand-in platform serves the store and the list at one address.
  "$SITE_ROOT/scripts/make-site" "$site" "$dir" --base-port "$port" \
    --list "127.0.0.1:$port" "$@"
}

# site_query DIR PYTHON-EXPRESSION over the site as `s`; prints one item a line.
site_query() {
  python3 -c '
import json, sys
s = json.load(open(sys.argv[1] + "/site.json"))
value = eval(sys.argv[2])
print("\n".join(map(str, value)) if isinstance(value, list) else value)
' "$1" "$2"
}

# site_spawn DIR NAME COMMAND...
site_spawn() {
  local dir=$1 name=$2
  shift 2
  mkdir -p "$dir/pids" "$dir/logs"
  "$@" >>"$dir/logs/$name.log" 2>&1 &
  echo $! >"$dir/pids/$name"
  disown $!
}

site_pid() { cat "$1/pids/$2"; }

site_start_backend() {
  local dir=$1 build=$2 name=$3 kind=$4 listen=$5
  local model=cheque-reader step=6
  if [ "$(site_query "$dir" 's["site"]')" = muscat ]; then
    model=permit-reviewer step=4
  fi
  if [ "$kind" = model ]; then
    # shellcheck disable=SC2086
    site_spawn "$dir" "$name" "$build/standin_engine" --listen "$listen" \
      --name "$name" --models "$model" --step-ms "$step" ${SITE_ENGINE_OPTIONS:-}
  else
    # shellcheck disable=SC2086
    site_spawn "$dir" "$name" "$build/standin_service" --listen "$listen" \
      ${SITE_SERVICE_OPTIONS:-}
  fi
}

site_start_daemon() {
  local dir=$1 build=$2 name=$3
  site_spawn "$dir" "$name" "$build/dogwoodvaled" --settings "$dir/settings/$name.json"
}

site_start_platform() {
  local dir=$1 build=$2
  # shellcheck disable=SC2086
  site_spawn "$dir" platform "$build/standin_platform" \
    --listen "$(site_query "$dir" 's["store"][0]')" \
    --instances "$dir/instances.json" ${SITE_PLATFORM_OPTIONS:-}
}

site_start() {
  local dir=$1 build=$2 name kind listen
  if [ "${SITE_NO_PLATFORM:-}" != 1 ]; then
    site_start_platform "$dir" "$build"
  fi
  while read -r name kind listen; do
    site_start_backend "$dir" "$build" "$name" "$kind" "$listen"
  done < <(site_query "$dir" '[" ".join([b["name"], b["kind"], b["listen"]]) for b in s["backends"]]')
  for name in $(site_query "$dir" '[i["name"] for i in s["sidecars"] + s["entries"]]'); do
    site_start_daemon "$dir" "$build" "$name"
  done
}

site_wait_ready() {
  local dir=$1 limit=${2:-20} address
  local end=$((SECONDS + limit))
  for address in $(site_query "$dir" '[e["operators"] for e in s["entries"]]'); do
    until curl -sf -m 1 -o /dev/null "http://$address/readyz"; do
      if [ "$SECONDS" -ge "$end" ]; then
        echo "not ready within $limit s: $address" >&2
        return 1
      fi
      sleep 0.1
    done
  done
  site_all_live "$dir"
}

# site_all_live DIR: whether all processes run. Where another site holds the
# ports, its entries would answer in place of this one's, which never started.
site_all_live() {
  local name failed=0
  for name in $(ls "$1/pids"); do
    if ! kill -0 "$(site_pid "$1" "$name")" 2>/dev/null; then
      echo "$name does not run: $(tail -n 1 "$1/logs/$name.log")" >&2
      failed=1
    fi
  done
  return "$failed"
}

# site_end DIR NAME: SIGTERM and wait; 1 if it had to be killed.
site_end() {
  local dir=$1 name=$2 pid tries=0
  pid=$(site_pid "$dir" "$name")
  kill -TERM "$pid" 2>/dev/null
  kill -CONT "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null; do
    if [ "$((tries += 1))" -gt "${SITE_STOP_TENTHS:-150}" ]; then
      echo "$name did not stop; killed" >&2
      kill -KILL "$pid" 2>/dev/null
      rm -f "$dir/pids/$name"
      return 1
    fi
    sleep 0.1
  done
  rm -f "$dir/pids/$name"
}

site_stop() {
  local dir=$1 failed=0 group name
  # Entries first, so that sidecars see their work end.
  for group in 'entry-*' 'sidecar-*' '*'; do
    for name in $(cd "$dir/pids" 2>/dev/null && ls -d $group 2>/dev/null); do
      kill -TERM "$(site_pid "$dir" "$name")" 2>/dev/null
    done
    for name in $(cd "$dir/pids" 2>/dev/null && ls -d $group 2>/dev/null); do
      site_end "$dir" "$name" || failed=1
    done
  done
  return "$failed"
}
