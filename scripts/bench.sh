#!/usr/bin/env bash
# Runs the load profiles one after another and writes a JSON report for each
# into out/bench. Takes about six minutes.
set -euo pipefail
build=${1:-build}
out=out/bench
mkdir -p "$out"
run() {
  local name=$1
  shift
  "$build/bin/mulberrysail_bench" --json "$out/$name.json" "$@"
}
run steady50 --profile steady50 --seconds 20
run steady70 --profile steady70 --seconds 20
run steady70-random --profile steady70 --seconds 20 \
  --entry-settings '{"policy": {"placement": "random"}}'
run steady70-probe --profile steady70 --seconds 20 \
  --entry-settings '{"policy": {"placement": "probe"}}'
run steady90 --profile steady90 --seconds 20
run opening --profile opening --seconds 25
run slow-endpoint --profile steady70 --seconds 20 --slow-endpoint 4
run slow-endpoint-random --profile steady70 --seconds 20 --slow-endpoint 4 \
  --entry-settings '{"policy": {"placement": "random"}}'
run declared --profile declared --seconds 20
run jobs --profile mixed --seconds 20
run agent-killed --profile steady70 --seconds 20 --disturb 5:kill:agent-3
run store-down --profile steady70 --seconds 20 \
  --disturb '5:control:store:{"mode": "down"}'
run failing-worker --profile jobs --seconds 20 \
  --disturb '0:control:worker-1:{"fail_all": true}'
run rate2500 --profile rate2500 --place local --entries 1
run rate5000 --profile rate5000 --place local --entries 1
"$build/bin/bench_capacity" > "$out/capacity.json"
