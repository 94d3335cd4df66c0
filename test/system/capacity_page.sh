#!/usr/bin/env bash
# The tables of docs/CAPACITY.md are what the measured points give.
"$(dirname "$0")/../../scripts/capacity-report" --check
