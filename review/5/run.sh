#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
program=$root/target/review/release/jayrack-review
if [ ! -x "$program" ]; then
    echo "$program is missing; run review/build.sh" >&2
    exit 2
fi
"$program" fractional-bound "$root" "$PWD/record.txt" &
pid=$!
# A script that is interrupted ends the daemons and stand-ins that the program has started, too.
trap 'pkill -KILL -P "$pid"; kill "$pid"; exit 2' INT TERM
wait "$pid"
