#!/usr/bin/env bash
# A caller hands in one scheduled job: four small work items, each minute for a
# year. Its first_run_ms holds seconds instead of milliseconds, so that all
# occurrences are due; with TROUBLE=0 it holds milliseconds. As the platform does, this script kills an entry that
# uses more than limits.memory_mb, and starts it again after a second. Then
# another account hands in an ordinary job. Exits with 1 if two entries have been
# killed three times or more.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/7
. review/standin-2/fleet.sh
ID=00000000000000d1
OTHER=00000000000000d2
STEPS='"steps":[{"count":4,"cpu":1000,"estimate_ms":200}]'
SCHEDULED='{"spec":"takes=200",'$STEPS',"repeat_count":525600,"interval_ms":60000,"first_run_ms":FIRST}'
ORDINARY='{"spec":"takes=200",'$STEPS'}'
declare -A KILLS=([1]=0 [2]=0 [3]=0)
declare -A MOST=([1]=0 [2]=0 [3]=0)

# Kills and restarts the entries over the limit for SECONDS.
watch_memory() { # SECONDS
  local until=$((SECONDS + $1)) number mb
  while [ "$SECONDS" -lt "$until" ]; do
    for number in 1 2 3; do
      mb=$(awk '/VmRSS/ { print int($2 / 1024) }' \
        "/proc/${PIDS[entry-$number]}/status" 2>/dev/null)
      [ "${mb:-0}" -gt "${MOST[$number]}" ] && MOST[$number]=$mb
      if [ "${mb:-0}" -gt "$MEMORY_MB" ]; then
        kill -KILL "${PIDS[entry-$number]}"
        wait "${PIDS[entry-$number]}" 2>/dev/null
        KILLS[$number]=$((KILLS[$number] + 1))
        note "entry $number uses $mb MB of $MEMORY_MB and is killed"
        sleep 1
        start_entry "$number"
      fi
    done
    sleep 0.1
  done
}

start_fleet
first=$(date +%s)
[ "${TROUBLE:-1}" = 0 ] && first=$(date +%s%3N)
[ "$(submit 1 rounds $ID depots-key "${SCHEDULED/FIRST/$first}")" = 200 ] ||
  note "the scheduled job is refused"
watch_memory 10
accepted=000
for number in 1 2 3 1 2 3; do
  accepted=$(submit $number quotes $OTHER lodges-key "$ORDINARY")
  [ "$accepted" = 200 ] && break
  watch_memory 1
done
[ "$accepted" = 200 ] || cannot_run "the ordinary job is not accepted"
watch_memory 30
for number in 1 2 3; do
  note "entry $number: killed ${KILLS[$number]} times, at most ${MOST[$number]} MB; says $(state $number quotes $OTHER lodges-key)"
done
runs=$(grep -c "start $OTHER" "$WORK/standin.log")
note "runs of the ordinary job's 4 work items: $runs"
grep "$OTHER" "$WORK/standin.log" >>"$RECORD"
over=0
for number in 1 2 3; do
  [ "${KILLS[$number]}" -ge 3 ] && over=$((over + 1))
done
note "entries that were over the limit three times or more: $over"
[ "$over" -ge 2 ] && finish 1
finish 0
