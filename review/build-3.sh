#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start: the bundle, with the build
# command of the deploy file where it is missing. Their stand-ins are plain
# JavaScript; they are only checked for syntax.
cd "$(dirname "$0")/.." || exit 1
if [ ! -f target/zinniapointd.mjs ]; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
  sh -c "$build" || exit 1
fi
for file in review/1[1-5]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
