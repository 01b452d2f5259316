#!/usr/bin/env bash
# 700 jobs have ended, so that submissions fill two pages of a list. Then, for
# 4.5 s, the store's answers take 60 times as long, a share of 0.35 of its writes
# is done and not answered, and it forgets its history once. Callers hand in 80
# small jobs a second meanwhile, and ask again after 504 or no answer. Exits with
# 1 if finish_s later an accepted job has not started.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/6
. review/standin-2/fleet.sh
FINISH_S=14
JOB='{"spec":"takes=50","steps":[{"count":1,"cpu":100,"estimate_ms":50}]}'
ACCEPTED=$WORK/accepted

new_id() { printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM; }

# Hands in one job, with up to four retries at the next entries.
hand_in() { # ENTRY ID
  local entry=$1 try answer
  for try in 1 2 3 4 5; do
    answer=$(call POST "$NET.10$entry:8340" "/quotes/$2" depots-key "$JOB")
    echo "$(date +%H:%M:%S.%3N) POST $2 at entry $entry: ${answer%% *}" >>"$RECORD"
    case $answer in
      200*) echo "$2" >>"$ACCEPTED" && return ;;
      000* | 502* | 504*) entry=$((entry % 3 + 1)) ;;
      *) return ;;
    esac
    sleep 0.2
  done
}

hand_in_many() { # COUNT
  local number
  for number in $(seq "$1"); do hand_in $((number % 3 + 1)) "$(new_id)"; done
}

start_fleet
: >"$ACCEPTED"
callers=()
for caller in 1 2 3 4; do
  RANDOM=$((caller * 1000 + $$))
  hand_in_many 175 &
  callers+=($!)
done
wait "${callers[@]}"
note "jobs accepted before the trouble: $(wc -l <"$ACCEPTED")"
sleep 3
if [ "${TROUBLE:-1}" != 0 ]; then
  call POST "$NET.2:7400" /trouble none \
    '{"ms":4500,"slow_ms":236,"lost":0.35,"forgets":true}' >/dev/null
  note "the store is slow, loses answers and forgets its history"
fi
callers=()
for number in $(seq 320); do
  hand_in $((number % 3 + 1)) "$(new_id)" &
  callers+=($!)
  sleep 0.01
done
wait "${callers[@]}"
note "jobs accepted in all: $(wc -l <"$ACCEPTED")"
sleep "$FINISH_S"
lost=0
while read -r id; do
  grep -q " start $id\." "$WORK/standin.log" && continue
  lost=$((lost + 1))
  note "job $id was accepted and has not started; it is $(state 2 quotes "$id" depots-key)"
done <"$ACCEPTED"
note "accepted jobs that have not started: $lost"
grep -E 'forgets' "$WORK/standin.log" >>"$RECORD"
grep -h '"owner_' "$WORK"/entry-*.log | cut -c1-200 >>"$RECORD"
[ "$lost" -gt 0 ] && finish 1
finish 0
