#!/bin/sh
# Checks that the stand-ins and the cases can be loaded. They are plain JavaScript without
# dependencies and need no further build; the program comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -f target/shallotpond.cjs
for file in review/stand-ins-3/*.js review/1[1-5]/*.js; do
	node --check "$file"
done
