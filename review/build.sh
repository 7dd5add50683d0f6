#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain modules without dependencies, so
# it only checks that Node.js can read them. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
for program in entry agent; do
  [ -f "../target/${program}_main.cjs" ] || {
    echo "target/${program}_main.cjs is missing: run the build of the deploy file" >&2
    exit 1
  }
done
