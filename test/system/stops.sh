#!/usr/bin/env bash
# Gateways on weak processors are stopped in turn while engines pause.
set -euo pipefail
BUILD=${1:?usage: stops.sh BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
"$ROOT/soak/soak" "$BUILD" --stops --seeds 2 --first 1 --seconds 15
"$ROOT/soak/soak" "$BUILD" --stops --seed 3 --seconds 15
