#!/usr/bin/env bash
# Runs one case: three entries as separate processes with the command of the
# deploy file, and the stand-ins with the driver of the case.
#
#   run_case.sh CASE FOLDER [SHARE SHARE SHARE]
#
# SHARE is what each entry has of a core, as its settings say. With LINK set,
# entries have a link of that many Mbit/s, and reach the store through a proxy of
# the driver that has this rate.
# TROUBLE=0 leaves out the disruption. The exit status is that of the case: 0 if
# the rule held, 1 if it was broken, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
name=$1
folder=$2
shares=("${3:-0.25}" "${4:-0.25}" "${5:-0.25}")
daemon=target/packages/daemon/cuminbridge
driver=target/review/review_case
if [ ! -x "$daemon" ] || [ ! -x "$driver" ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
pids=()
finish() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' TERM INT

settings() { # NUMBER
  local store=$net.1
  [ -n "${LINK:-}" ] && store=$net.20$1
  cat <<CONF
node_name=edge-$1
role=entry
machine_class=edge
serves=edge
ip=$net.10$1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=$net.10$1:8340
listen.ready=$net.10$1:8343
internal_ports=7000,7015
bootstrap=true
limits.cpu_share=${shares[$(($1 - 1))]}
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=${LINK:-1000.0}
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.recovery_s=12
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=1.5
bounds.checkpoint_interval_s=1
bounds.restore_ms=250
bounds.notice_ms=4500
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.fencing_required=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.pacing_ms=100
bounds.impact_ms=4000
orders=request
platform.address=$store:7400
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
cloud.address=$net.2:7400
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
CONF
}

declare -A entry_pid
start_entry() { # NUMBER
  settings "$1" >"$work/settings-$1.conf"
  CUMINBRIDGE_CONFIG="$work/settings-$1.conf" "$daemon" \
    >>"$work/edge-$1.log" 2>&1 &
  entry_pid[$1]=$!
  pids+=("$!")
}

# The driver asks for signals and starts through this pipe.
mkfifo "$work/control"
exec 3<>"$work/control"
CONTROL="$work/control" "$driver" "$name" "$net" "$folder/record.txt" \
  "${TROUBLE:-1}" 3<&- &
driver_pid=$!
pids+=("$driver_pid")
for number in 1 2 3; do start_entry "$number"; done
SECONDS=0 # no case takes longer than two minutes
while kill -0 "$driver_pid" 2>/dev/null; do
  if [ "$SECONDS" -gt 110 ]; then kill -KILL "$driver_pid"; fi
  if read -r -t 0.2 what number <&3; then
    case $what in
      START)
        wait "${entry_pid[$number]}" 2>/dev/null
        start_entry "$number"
        ;;
      *) kill "-$what" "${entry_pid[$number]}" 2>/dev/null ;;
    esac
  fi
done
wait "$driver_pid"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/edge-*.log "$KEEP_LOGS"/
[ "$status" -gt 2 ] && status=2
exit "$status"
