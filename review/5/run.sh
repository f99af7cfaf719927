#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
cd "$(dirname "$0")" && exec node case.mjs
