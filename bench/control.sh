#!/usr/bin/env bash
# Measures the control overhead of the daemons: real cobalttided processes run against
# the stand-in with increasing numbers of instances, workers and running tasks.
# Prints one line per configuration: processor time in percent of a core, resident
# memory in MiB and control bytes per second, for the planner and averaged over the
# other instances. Everything runs on loopback and stops at the end.
#   control.sh [instances|workers|gangs|all]    the series to measure; default all
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${SECONDS_EACH:-15}
dir=$(mktemp -d)
go build -o "$dir" ./cmd/...
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; pids=(); }
trap 'stop; rm -rf "$dir"' EXIT

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }
bytes() { curl -s "http://127.0.0.1:$1/metrics" | awk '/^cobalttide_control_bytes_total/ {n += $2} END {printf "%d", n}'; }
planning() { curl -s "http://127.0.0.1:$1/metrics" | awk '/^cobalttide_planning / {print $2}'; }

# measure BASE INSTANCES WORKERS GANGS: one data centre with up to 20 workers per rack and
# 8 accelerators per worker, and GANGS gangs of one task that run for the whole measurement.
measure() {
  local base=$1 instances=$2 workers=$3 gangs=$4 racks=$((($3 + 19) / 20)) i
  [ "$workers" -lt 20 ] && local per=$workers || local per=20
  cat >"$dir/fleet.json" <<F
{"data_centres": [{"name": "dc", "racks": $racks, "workers_per_rack": $per, "capacity": {"accelerators": 8, "cpu": 30, "memory_mib": 130000}, "minions": 2, "slots": 8}]}
F
  echo control-measurement-secret >"$dir/secret"
  "$dir/standin" -fleet "$dir/fleet.json" -listen "127.0.0.1:$base" >"$dir/standin.log" 2>&1 &
  pids+=($!)
  sleep 0.3
  local daemons=()
  for i in $(seq 1 "$instances"); do
    cat >"$dir/$i.json" <<S
{"instance": "i$i", "data_centre": "dc", "listen": {"callers": "127.0.0.1:$((base + 2 * i))", "peers": "127.0.0.1:$((base + 2 * i + 1))"},
 "platform": {"log": "127.0.0.1:$base", "list": "127.0.0.1:$base"}, "peer_secret_file": "$dir/secret",
 "bootstrap_operator_token_hash": "$(printf operator-development | sha256sum | cut -d' ' -f1)", "limits": {"drain_grace": "0s"}}
S
    "$dir/cobalttided" -settings "$dir/$i.json" >"$dir/$i.log" 2>&1 &
    pids+=($!)
    daemons+=($!)
  done
  sleep 3
  mkdir -p "$dir/declarations"
  cat >"$dir/declarations/all.json" <<D
{"accounts": {"a": {"weight": 1, "requests_per_second": 1000, "token_hashes": ["$(printf a | sha256sum | cut -d' ' -f1)"]}},
 "classes": {"long": {"kind": "job", "expectation": "9h", "idempotent": true}},
 "operator_token_hashes": ["$(printf operator-development | sha256sum | cut -d' ' -f1)"]}
D
  export COBALTTIDE_ADDRESS="127.0.0.1:$((base + 2))"
  COBALTTIDE_TOKEN=operator-development "$dir/cobaltctl" apply "$dir/declarations" >/dev/null
  export dir
  seq 1 "$gangs" | xargs -r -P 16 -I{} curl -s -o /dev/null -H "Authorization: Bearer a" \
    -d '{"id": "g{}", "class": "long", "estimate": "9h", "payload": "{\"run\": \"9h\"}", "shape": {"tasks": 1, "per_task": {"accelerators": 1}}}' \
    "http://$COBALTTIDE_ADDRESS/v1/jobs"
  sleep 4
  local before=() after=() b0=() b1=()
  for i in $(seq 1 "$instances"); do before+=("$(ticks "${daemons[i - 1]}")"); b0+=("$(bytes $((base + 2 * i)))"); done
  sleep "$seconds"
  local planner="" cpu=0 mem=0 traffic=0 others=0
  for i in $(seq 1 "$instances"); do
    after=$(ticks "${daemons[i - 1]}")
    b1=$(bytes $((base + 2 * i)))
    local c m t
    c=$(awk -v a="$after" -v b="${before[i - 1]}" -v s="$seconds" 'BEGIN {printf "%.2f", (a - b) / s}')
    m=$(resident "${daemons[i - 1]}")
    t=$(awk -v a="$b1" -v b="${b0[i - 1]}" -v s="$seconds" 'BEGIN {printf "%.0f", (a - b) / s}')
    if [ "$(planning $((base + 2 * i)))" = 1 ]; then planner="cpu%=$c rss=$m B/s=$t"; continue; fi
    others=$((others + 1))
    cpu=$(awk -v x="$cpu" -v y="$c" 'BEGIN {print x + y}')
    mem=$(awk -v x="$mem" -v y="$m" 'BEGIN {print x + y}')
    traffic=$((traffic + t))
  done
  awk -v n="$others" -v c="$cpu" -v m="$mem" -v t="$traffic" -v h="instances=$instances workers=$((racks * per)) gangs=$gangs" -v p="$planner" \
    'BEGIN {if (n == 0) n = 1; printf "%-40s planner: %s   others: cpu%%=%.2f rss=%.1f B/s=%.0f\n", h, p, c / n, m / n, t / n}'
  stop
}

case "${1:-all}" in
instances | all) for n in 2 4 8 16 32; do measure 21000 "$n" 20 0; done ;;&
workers | all) for w in 20 100 200 400 900; do measure 22000 2 "$w" 0; done ;;&
gangs | all) for g in 0 100 200 400 800; do measure 23000 2 100 "$g"; done ;;
esac
