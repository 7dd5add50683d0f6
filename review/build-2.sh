#!/bin/sh
# Checks the scripts of cases 6 and 7; they and their stand-ins need no compilation.
cd "$(dirname "$0")" || exit 2
for file in stand_ins_2/*.mjs */run.mjs; do
  node --check "$file" || exit 1
done
