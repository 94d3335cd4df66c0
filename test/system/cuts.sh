#!/usr/bin/env bash
# Engines break off answers that state no length, while gateways are weak or suspended.
set -euo pipefail
BUILD=${1:?usage: cuts.sh BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
"$ROOT/soak/soak" "$BUILD" --cuts --seed 1 --seconds 12
