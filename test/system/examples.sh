#!/usr/bin/env bash
# The settings of both example sites, as scripts/make-site writes them, pass the
# daemon's own check.
set -euo pipefail
build=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

check_site() {
  local site=$1 expected=$2
  shift 2
  "$root/scripts/make-site" "$site" "$work/$site" --base-port 30000 "$@"
  local count=0
  for settings in "$work/$site"/settings/*.json; do
    "$build/dogwoodvaled" --settings "$settings" --check
    count=$((count + 1))
  done
  if [ "$count" != "$expected" ]; then
    echo "$site: $count settings, not $expected"
    exit 1
  fi
  rm -rf "${work:?}/$site"
}

for options in "" "--static --no-platform"; do
  # shellcheck disable=SC2086
  check_site nairobi 18 $options
  # shellcheck disable=SC2086
  check_site muscat 15 $options
done
