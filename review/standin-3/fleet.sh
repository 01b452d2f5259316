# Functions of the findings 11 to 15: entries as separate processes on loopback,
# against the stand-in in this folder. Source it in the folder of the project
# with NET (three parts of a loopback address), CASE (folder of the case),
# ENTRIES, and SETTINGS (further lines of each settings file) set.

DAEMON=target/packages/daemon/cuminbridge # as deploy/system.toml starts it
STANDIN=target/review-3/standin_3
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
declare -A PIDS=()

could_not_run() { # WHY
  echo "the case could not run: $1"
  exit 2
}

end_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  mkdir -p "$WORK" && rm -rf "$WORK"
}
trap end_all EXIT

[ -x "$STANDIN" ] || review/build-3.sh >/dev/null
for program in "$DAEMON" "$STANDIN"; do
  [ -x "$program" ] || could_not_run "$program is missing; build it first"
done

start_standin() { # WORKERS STOP_MS UPKEEP_MS MAX_CPU
  "$STANDIN" "$NET" "$RECORD" "$@" >"$WORK/standin.log" 2>&1 &
  PIDS[standin]=$!
  disown
}

start_entry() { # NUMBER
  local ip=$NET.20$1
  cat >"$WORK/entry-$1.conf" <<CONF
node_name=entry-$1
role=entry
machine_class=edge
serves=edge
ip=$ip
zone=demo-a
region=demo
zones.demo-a=demo
listen.front=$ip:8340
listen.ready=$ip:8343
internal_ports=7000,7015
bootstrap=true
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=3000
bounds.quota_overshoot=0.1
bounds.max_hold_ms=10000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.maintenance_s=2
bounds.lease_ms=3000
bounds.fencing_required=false
orders=request
advice=$NET.3:7400
platform.address=$NET.1:7400
platform.form=kv
platform.min_ttl_ms=1000
cloud.address=$NET.2:7400
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
$SETTINGS
CONF
  CUMINBRIDGE_CONFIG=$WORK/entry-$1.conf "$DAEMON" \
    >>"$WORK/entry-$1.log" 2>&1 &
  PIDS[entry-$1]=$!
  disown
}

wait_for() { # TRIES COMMAND... ; one try every 0.1 s
  local tries=$1
  shift
  for _ in $(seq "$tries"); do
    "$@" && return 0
    sleep 0.1
  done
  return 1
}

is_ready() { curl -sf -m 2 -o /dev/null "http://$NET.20$1:8343/readiness"; }

# Prints each entry that owns a cell, once for each cell.
owners() {
  local number
  for number in $(seq "$ENTRIES"); do
    local began ended
    began=$(grep -c '"event":"owner_began"' "$WORK/entry-$number.log")
    ended=$(grep -c '"event":"owner_ended"' "$WORK/entry-$number.log")
    for _ in $(seq $((began - ended))); do echo "$number"; done
  done
}

has_owners() { [ "$(owners | wc -l)" = "$1" ]; } # CELLS

start_fleet() { # CELLS WORKERS STOP_MS UPKEEP_MS MAX_CPU
  local cells=$1 number
  shift
  start_standin "$@"
  sleep 0.5
  for number in $(seq "$ENTRIES"); do start_entry "$number"; done
  for number in $(seq "$ENTRIES"); do
    wait_for 150 is_ready "$number" || could_not_run "entry $number is not ready"
  done
  wait_for 100 has_owners "$cells" ||
    could_not_run "the fleet does not have $cells cells with owners"
}

ask() { # ENTRY METHOD PATH [curl arguments] ; prints the answer's status
  local entry=$1 method=$2 path=$3 status
  shift 3
  status=$(curl -s -m 3 -o "$WORK/body" -w '%{http_code}' -X "$method" \
    -H "Host: demo.example" -H "X-Api-Key: demo-key" "$@" \
    "http://$NET.20$entry:8340$path")
  echo "$(date +%T.%3N) client: $method $path at entry $entry: $status" \
    "$(cat "$WORK/body" 2>/dev/null)" >>"$WORK/client"
  echo "$status"
}

submit_lasting() { # ENTRY ID COUNT
  ask "$1" POST "/rounds/$2" -H 'Content-Type: application/json' -d \
    "{\"spec\":\"lasts\",\"steps\":[{\"count\":$3,\"cpu\":1000,\"mem_mb\":1,\"estimate_ms\":500,\"long_running\":true}]}"
}

operate() { # PATH BODY
  curl -s -m 3 -o /dev/null -d "$2" "http://$NET.1:7400$1"
}

# Thousandths of a core that run, by the last line of the record that tells.
running() { grep -oE 'running [0-9]+' "$RECORD" | tail -n 1 | cut -d ' ' -f 2; }

is_running() { [ "$(running)" = "$1" ]; }

# Ends all, adds the client's side to the record, and exits by what it shows.
finish() { # RULE
  cat "$WORK/client" >>"$RECORD" 2>/dev/null
  local broken
  broken=$(grep -cE "BROKEN ($1)" "$RECORD")
  if [ "$broken" -gt 0 ]; then
    echo "broken: $1, $broken times; the first: $(grep -m 1 -E "BROKEN ($1)" "$RECORD")"
    exit 1
  fi
  echo "held: $1"
  exit 0
}
