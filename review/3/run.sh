#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the case is played without its disruption, and the rule must hold.
cd "$(dirname "$0")" || exit 2
node case.mjs &
player=$!
trap 'kill -TERM "$player"' INT TERM
while kill -0 "$player" 2> /dev/null; do
  wait "$player"
  code=$?
done
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
