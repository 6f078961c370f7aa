#!/bin/bash
# Builds what the scripts of review/6 to review/10 start: the bundled program,
# with the build command of the deploy file. Their stand-ins are plain
# JavaScript and need no build; they are only checked for syntax.
cd "$(dirname "$0")/.." || exit 2
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build" || exit 2
for file in review/{6,7,8,9,10}/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 2
done
