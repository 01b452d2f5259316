#!/usr/bin/env bash
# A work item of 20 s. The worker under it crashes three times, one at a time;
# each is gone for 1.5 s. No run ends as failed, and the queue grants three
# attempts. Exits with 1 if the job is shown as failed.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/9
. review/standin-2/fleet.sh
ID=00000000000000e1
ITEM=$ID.0.0.0
JOB='{"spec":"takes=20000","steps":[{"count":1,"cpu":1000,"estimate_ms":20000}]}'

# Prints "MACHINE RUN" of the last start of the item.
last_start() { sed -n "s/^[0-9]* \([^ ]*\) [^ ]* start $ITEM run \([0-9]*\)$/\1 \2/p" "$WORK/standin.log" | tail -n 1; }

start_fleet
[ "$(submit 1 rounds $ID depots-key "$JOB")" = 200 ] || cannot_run "not accepted"
seen_run=0
for crash in 1 2 3; do
  for _ in $(seq 100); do
    read -r machine run <<<"$(last_start)"
    [ "${run:-0}" -gt "$seen_run" ] && break
    sleep 0.1
  done
  [ "${run:-0}" -gt "$seen_run" ] || break
  seen_run=$run
  note "work item $ITEM, run $run, begins on $machine"
  sleep 3
  if [ "${TROUBLE:-1}" != 0 ]; then
    call POST "$NET.2:7400" /operator/target none \
      "{\"machine\":\"$machine\",\"fault\":\"replace\",\"ms\":1500}" >/dev/null
    note "the worker on $machine crashes ($crash of 3)"
    sleep 2
    note "the job is $(state 2 rounds $ID depots-key)"
  fi
done
result=$(wait_state 40 2 rounds $ID depots-key completed failed cancelled)
note "at the end the job is $result"
sleep 0.5
grep -E "$ITEM|replace|down" "$WORK/standin.log" >>"$RECORD"
failed=$(grep -c "failed $ITEM" "$WORK/standin.log")
note "ends of the item that its workers listed as failed: $failed"
grep -h '"job":"'$ID'"' "$WORK"/entry-*.log | grep -E 'run_crashed|crash_limit|job_ended' | cut -c1-400 >>"$RECORD"
case $result in
  completed) finish 0 ;;
  failed) [ "$failed" -lt 3 ] && finish 1 ;;
esac
cannot_run "the job is $result"
