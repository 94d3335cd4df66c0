#!/usr/bin/env bash
# A short seeded soak, one request that ends engines, a part of prompts that does,
# engines that state their needs, and every seed that failed once.
set -euo pipefail
BUILD=${1:?usage: soak.sh BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
"$ROOT/soak/soak" "$BUILD" --seeds 2 --first 1 --seconds 6
"$ROOT/soak/soak" "$BUILD" --crashing --seed 1 --seconds 8
"$ROOT/soak/soak" "$BUILD" --parts --seed 1 --seconds 8
"$ROOT/soak/soak" "$BUILD" --needy --seed 1 --seconds 9
"$ROOT/soak/soak" "$BUILD" --regressions
