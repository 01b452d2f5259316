#!/usr/bin/env bash
# A gang of three work items that save checkpoints runs on three workers. One of
# the workers crashes after some seconds, and the gang starts again. Exits with
# 1 if the members of one run were started with different checkpoints.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/standin-2/fleet.sh
ID=00000000000000b1
JOB='{"spec":"gang takes=9000","steps":[{"count":3,"cpu":9000,"estimate_ms":9000,"gang":true,"checkpointing":true,"max_per_server":1}]}'

start_fleet
[ "$(submit 1 rounds $ID depots-key "$JOB")" = 200 ] || cannot_run "not accepted"
sleep 4.5
if [ "${TROUBLE:-1}" != 0 ]; then
  machine=$(sed -n "s/^gang start $ID.0.0.0 run 1 on \([^ ]*\) .*/\1/p" "$WORK/standin.log")
  [ -n "$machine" ] || cannot_run "the gang has not started"
  call POST "$NET.2:7400" /break none "{\"machine\":\"$machine\",\"ms\":1500}" >/dev/null
  note "the worker on $machine crashes"
fi
note "the job is $(wait_state 40 2 rounds $ID depots-key completed failed)"
grep -E '^gang|done|replace' "$WORK/standin.log" | tee -a "$RECORD"
runs=$(sed -n 's/^gang start [^ ]* run \([0-9]*\) .*/\1/p' "$WORK/standin.log" | sort -nu)
broken=0
for run in $runs; do
  values=$(sed -n "s/^gang start [^ ]* run $run on [^ ]* checkpoint \(.*\)/\1/p" "$WORK/standin.log" | sort -u | wc -l)
  note "run $run: its members were started with $values different checkpoints"
  [ "$values" -gt 1 ] && broken=1
done
finish $broken
