#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"

# Ends what the case has started, if it was ended itself.
clean_up() {
  sed -n 's/.* start .* pid=//p' review/5/record.txt | while read -r pid; do
    grep -q target/release/jayreel "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
  done
}
rm -f review/5/record.txt
timeout -k 1 116 target/review/standin catchup review/5 &
case_pid=$!
trap 'kill "$case_pid"; clean_up; exit 2' INT TERM
wait "$case_pid"
code=$?
clean_up
[ "$code" -le 1 ] && exit "$code"
exit 2
