#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain JavaScript without dependencies: nothing is compiled, only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.js [6-9]/*.js 10/*.js; do
	node --check "$file"
done
