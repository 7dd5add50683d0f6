#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules without
# dependencies, so each is only checked; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in stand_ins_3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
test -e ../target/entry_main.cjs
test -e ../target/agent_main.cjs
