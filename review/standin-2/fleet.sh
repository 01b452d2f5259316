# Functions that start three entries as deploy/system.toml does, against the
# stand-in of the platform in this folder. Source it from the folder of a case,
# with the project's root as the working directory.
#
#   CASE      the folder of the case, for record.txt
#   DOORS     if it is set, each entry has its own way to the store
#   VMS       VMs of the first pool; 8 if it is not set
#   NET       the loopback network, drawn anew for each run
#   note TEXT...      writes a line to record.txt
#   call METHOD HOST:PORT PATH KEY [BODY]    prints "STATUS BODY", "000" if there
#             is no answer
#   finish CODE       ends all processes and exits

WORK=$(mktemp -d)
RECORD=$CASE/record.txt
NET=127.62.$((RANDOM % 250 + 2))
MEMORY_MB=260
DAEMON=target/packages/daemon/cuminbridge
STANDIN=${STANDIN:-build/review-2/platform_2}
declare -A PIDS=()
: >"$RECORD"

note() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$RECORD"; }

finish() { # CODE
  local name
  trap - EXIT TERM INT
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$WORK"
  note "exit $1"
  exit "$1"
}

cannot_run() {
  note "the case can't run: $*"
  finish 2
}

trap 'finish 2' EXIT TERM INT

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_entry() { # NUMBER
  local STORE_HOST=1
  [ -n "${DOORS:-}" ] && STORE_HOST=20$1
  cat >"$WORK/entry-$1.conf" <<CONF
node_name=entry-$1
role=entry
machine_class=edge
serves=edge
ip=$NET.10$1
zone=demo-a
region=demo
zones.demo-a=demo
listen.front=$NET.10$1:8340
listen.ready=$NET.10$1:8343
internal_ports=7000,7015
bootstrap=true
limits.cpu_share=1
limits.cores=1
limits.memory_mb=$MEMORY_MB
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=200
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=1.5
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.lease_ms=3000
orders=request
advice=$NET.3:7400
platform.address=$NET.$STORE_HOST:7400
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
cloud.address=$NET.2:7400
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
CONF
  CUMINBRIDGE_CONFIG=$WORK/entry-$1.conf start_process "entry-$1" "$DAEMON"
}

call() { # METHOD HOST:PORT PATH KEY [BODY]
  local body=${5:-} answer
  answer=$(
    exec 2>/dev/null
    exec 3<>"/dev/tcp/${2%:*}/${2#*:}" || exit 0
    printf '%s %s HTTP/1.1\r\nHost: demo.example\r\nX-Api-Key: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
      "$1" "$3" "$4" "${#body}" "$body" >&3
    timeout 5 cat <&3
  )
  answer=${answer//$'\r'/}
  local status=${answer#* }
  status=${status%%[ $'\n']*}
  [ -n "$answer" ] || status=000
  echo "$status ${answer#*$'\n\n'}"
}

submit() { # ENTRY QUEUE ID KEY BODY ; notes and prints the status
  local answer
  answer=$(call POST "$NET.10$1:8340" "/$2/$3" "$4" "$5")
  note "POST /$2/$3 by $4 at entry $1: ${#5} bytes, answered ${answer%% *}" >&2
  echo "${answer%% *}"
}

# Prints the state of a job, or the status if that is not 200.
state() { # ENTRY QUEUE ID KEY
  local answer
  answer=$(call GET "$NET.10$1:8340" "/$2/$3" "$4")
  case $answer in
    200*) sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' <<<"$answer" ;;
    *) echo "${answer%% *}" ;;
  esac
}

# Waits until a job has one of the states, then prints the state.
wait_state() { # SECONDS ENTRY QUEUE ID KEY STATE...
  local until=$((SECONDS + $1)) entry=$2 queue=$3 id=$4 key=$5 seen
  shift 5
  while true; do
    seen=$(state "$entry" "$queue" "$id" "$key")
    [[ " $* " == *" $seen "* ]] && break
    [ "$SECONDS" -ge "$until" ] && break
    sleep 0.2
  done
  echo "$seen"
}

is_ready() { [[ $(call GET "$NET.10$1:8343" /readiness none) == 200* ]]; }

start_fleet() {
  local number try
  [ -x "$DAEMON" ] && [ -x "$STANDIN" ] || cannot_run "the build is missing"
  start_process standin "$STANDIN" "$NET" "${VMS:-8}"
  for number in 1 2 3; do start_entry "$number"; done
  for try in $(seq 100); do
    if is_ready 1 && is_ready 2 && is_ready 3 &&
      grep -qh owner_began "$WORK"/entry-*.log; then
      note "three entries are ready, network $NET"
      sleep 1
      return
    fi
    sleep 0.1
  done
  cannot_run "the entries are not ready"
}
