#!/usr/bin/env bash
# All gateways are killed at once beside two software versions, while engines pause.
set -euo pipefail
BUILD=${1:?usage: kills.sh BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
"$ROOT/soak/soak" "$BUILD" --kills --seed 1 --seconds 10
"$ROOT/soak/soak" "$BUILD" --kills --seed 3 --seconds 12
