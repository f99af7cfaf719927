#!/usr/bin/env bash
# Prepares the cases 6 to 10. Their stand-ins are plain modules for Node.js 20 that need no
# build and no package; this checks that all of them can be parsed, and that the program of
# the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do node --check "$file"; done
[ -s target/gooseberryfold.cjs ] || { echo 'target/gooseberryfold.cjs is missing: build the deploy file first' >&2; exit 1; }
