#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases. They are plain JavaScript
# without dependencies, so nothing has to be compiled. The program itself is
# built by the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs */case.mjs; do
  node --check "$file"
done
