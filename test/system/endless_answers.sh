#!/usr/bin/env bash
# An engine sends heads and bodies without end. The gateway's resident memory stays
# within memory_mb and other requests are served.
set -euo pipefail
BUILD=${1:?usage: endless_answers.sh BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
"$ROOT/soak/endless" "$BUILD" --seed 1 --seconds 3
