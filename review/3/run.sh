#!/usr/bin/env bash
# Plays the case; `TROUBLE=0` leaves the disruption out. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/zinniapointd.mjs ] || exit 2
node case.mjs
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
