#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start. Their stand-ins are plain
# JavaScript; only the bundle of the deploy file has to be there.
cd "$(dirname "$0")/.." || exit 1
test -f target/zinniapointd.mjs || npm run -s bundle
