#!/usr/bin/env bash
# Builds what the scripts of this review start besides the program of the deploy file. Their stand-ins are plain modules that need no build; only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-3/*.mjs 11/*.mjs 12/*.mjs; do node --check "$module"; done
