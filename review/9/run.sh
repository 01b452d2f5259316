#!/usr/bin/env bash
# 23 of the 28 workers of a pool are full. The other five end silently, and 2 s
# later their addresses belong to workers of another service. An ordinary job
# comes then. Exits with 1 if the job is shown as failed, though no worker has
# ever held its work item.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/9
VMS=28
. review/standin-2/fleet.sh
FILL=00000000000000e0
ID=00000000000000e1
FILL_JOB='{"spec":"lasts","steps":[{"count":23,"cpu":16000,"long_running":true,"max_per_server":1}]}'
JOB='{"spec":"takes=300","steps":[{"count":1,"cpu":1000,"estimate_ms":300}]}'

start_fleet
[ "$(submit 1 rounds $FILL depots-key "$FILL_JOB")" = 200 ] ||
  cannot_run "the first job is not accepted"
for _ in $(seq 50); do
  [ "$(grep -c " start $FILL\." "$WORK/standin.log")" -ge 23 ] && break
  sleep 0.1
done
sleep 1
full=" $(sed -n "s/^[0-9]* \([^ ]*\) [^ ]* start $FILL\..*/\1/p" "$WORK/standin.log" | tr '\n' ' ') "
idle=()
for number in $(seq $VMS); do
  [[ $full == *" vm-$number "* ]] || idle+=("\"vm-$number\"")
done
note "idle workers of the pool: ${idle[*]}"
[ ${#idle[@]} = 5 ] || cannot_run "not five workers are idle"
if [ "${TROUBLE:-1}" != 0 ]; then
  machines=$(IFS=,; echo "${idle[*]}")
  call POST "$NET.2:7400" /reuse none \
    "{\"machines\":[$machines],\"ms\":2000}" >/dev/null
  note "their addresses belong to workers of another service"
fi
[ "$(submit 2 rounds $ID lodges-key "$JOB")" = 200 ] || cannot_run "not accepted"
if [ "${TROUBLE:-1}" = 0 ]; then
  result=$(wait_state 10 3 rounds $ID lodges-key completed failed)
else
  result=$(wait_state 5 3 rounds $ID lodges-key completed failed)
fi
runs=$(grep -c " start $ID\." "$WORK/standin.log")
note "the job is $result; its work item was started $runs times by a worker"
grep -h '"job":"'$ID'"' "$WORK"/entry-*.log | cut -c1-330 >>"$RECORD"
[ "$result" = failed ] && [ "$runs" = 0 ] && finish 1
finish 0
