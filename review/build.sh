#!/usr/bin/env bash
# The stand-ins of the cases are plain modules that run as they are: this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/*.mjs; do node --check "$module"; done
test -f ../target/gooseberryfold.cjs || { echo 'target/gooseberryfold.cjs is missing: run the build of the deploy file first' >&2; exit 1; }
