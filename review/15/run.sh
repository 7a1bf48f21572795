#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/15/case.js
