#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=$(pkg-config --cflags --libs evhtp libnghttp2 libevent jsoncpp fmt libxxhash libzstd \
  absl_status absl_statusor absl_flat_hash_map absl_flat_hash_set openssl)
# shellcheck disable=SC2086
g++ -std=c++20 -O1 -I. -DDOGWOODVALE_VERSION='"0.1.0"' standins/programs/standin_metadata.cpp \
  standins/*.cpp target/libdogwoodvale.a $flags -ldocopt -o review/bin/standin_metadata
