#!/usr/bin/env bash
# Starts a small Tasdira on this machine (a store, 2 entries, 3 agents with
# their endpoints, 3 workers), submits a request and a job of 50 tasks through
# mulberryctl and through HTTP, and checks every answer.
# Exit code 0 only if all answers were right. Usage: demo.sh BUILD
set -euo pipefail
readonly bin=$1/bin
readonly service=photo-check
readonly tasks=50
readonly ready_timeout_s=30
readonly call_timeout_s=20
# A loopback address that no other process has: ports on it don't clash.
address=127.$((64 + ($$ >> 16) % 64)).$((($$ >> 8) % 256)).$(($$ % 256))
readonly address
work=$(mktemp -d)
readonly work
pids=()
next_port=21000
failures=0

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

# Sets `port` to a port that nothing listens on.
pick_port() {
  port=$((next_port++))
  while (: <"/dev/tcp/$address/$port") 2>/dev/null; do
    port=$((next_port++))
  done
}

# start NAME PROGRAM ARGUMENTS...
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

show_logs() {
  local log
  for log in "$work"/*.log; do
    echo "== $(basename "$log")"
    tail -n 20 "$log"
  done >&2
}

all_run() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || return 1
  done
}

# wait_for WHAT COMMAND... : until the command succeeds.
wait_for() {
  local what=$1 end=$((SECONDS + ready_timeout_s))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ] || ! all_run; then
      echo "demo: no $what within $ready_timeout_s s, or a process ended" >&2
      show_logs
      exit 1
    fi
    sleep 0.05
  done
}

get() { curl -sf --max-time "$call_timeout_s" "$1"; }
post() { curl -s --max-time "$call_timeout_s" -d "$2" "$1"; }
answers() { get "$1" >/dev/null; }

# count URL PATTERN : how often the answer of a GET matches.
count() { { get "$1" || true; } | grep -oE "$2" | wc -l; }

entry_knows_all() {
  local url=$1
  answers "$url/readyz" &&
    get "$url/v1/services" | tr -d ' ' | grep -q '"endpoints":3' &&
    [ "$(count "$url/v1/workers" '"rack"')" -eq 3 ]
}

patch_accepted() {
  post "$1/v1/config/patches" \
    '{"base":0,"id":"demo","patch":{"services":{"'$service'":{}}}}' |
    grep -q '"version"'
}

write_entry_settings() {
  local name=$1 http=$2 messages=$3
  cat >"$work/$name.json" <<EOF
{
  "role": "entry", "name": "$name", "zone": "zone-a",
  "http": { "address": "$address", "port": $http },
  "messages": { "address": "$address", "port": $messages },
  "store": { "urls": ["$store_url"] }
}
EOF
}

write_agent_settings() {
  local name=$1 http=$2
  cat >"$work/$name.json" <<EOF
{
  "role": "agent", "name": "$name", "zone": "zone-a",
  "http": { "address": "$address", "port": $http },
  "store": { "urls": ["$store_url"] }
}
EOF
}

start_store() {
  pick_port
  store_url=http://$address:$port
  start store standin_store --listen-address="$address" --listen-port="$port"
  wait_for "store" answers "$store_url/control"
}

start_entries() {
  local i http
  entry_urls=()
  for i in 1 2; do
    pick_port
    http=$port
    pick_port
    entry_urls+=("http://$address:$http")
    write_entry_settings "entry-$i" "$http" "$port"
    start "entry-$i" mulberrysaild --settings="$work/entry-$i.json"
  done
}

start_agents() {
  local i agent_url
  for i in 1 2 3; do
    pick_port
    agent_url=http://$address:$port
    write_agent_settings "agent-$i" "$port"
    start "agent-$i" mulberrysaild --settings="$work/agent-$i.json"
    pick_port
    start "endpoint-$i" standin_endpoint --agent="$agent_url" \
      --service="$service" --listen-address="$address" --listen-port="$port" \
      --journal="$work/endpoint-$i.journal"
  done
}

start_workers() {
  local i
  for i in 1 2 3; do
    pick_port
    start "worker-$i" standin_worker --name="worker-$i" \
      --entries="${entry_urls[0]},${entry_urls[1]}" \
      --listen-address="$address" --listen-port="$port" \
      --journal="$work/worker-$i.journal"
  done
}

# A payload as it stands in a JSON string: it runs for 50 ms.
payload() { printf '{\\"id\\":\\"%s\\",\\"run_ms\\":50}' "$1"; }

# check WHAT EXPECTED ANSWER : the answer must contain what is expected.
check() {
  local what=$1 expected=$2 answer
  answer=$(tr -d ' \n' <<<"$3")
  echo "$what: ${answer:0:200}"
  if [[ "$answer" != *"$expected"* ]]; then
    echo "demo: $what got a wrong answer: $answer" >&2
    failures=$((failures + 1))
  fi
}

# Sets `job` to a list of tasks and `outputs` to what must come of them.
make_job() {
  local prefix=$1 i list='' separator=''
  job='['
  for ((i = 1; i <= tasks; ++i)); do
    job+="$separator{\"payload\":\"$(payload "$prefix-$i")\",\"cores\":1,"
    job+='"memory_mb":64}'
    list+="$separator\"$(payload "$prefix-$i")\""
    separator=,
  done
  job+=']'
  outputs="\"outputs\":[$list]"
}

submit_by_http() {
  local url=${entry_urls[0]}/v1/services/$service
  local body
  body=$(payload http-request)
  check "request by HTTP" "\"output\":\"$body\"" \
    "$(post "$url/requests" "{\"payload\":\"$body\"}")"
  make_job http-task
  check "job by HTTP" "$outputs" "$(post "$url/jobs" "{\"tasks\":$job}")"
}

ctl_submit() {
  local what=$1
  shift
  timeout "$call_timeout_s" "$bin/mulberryctl" submit "$what" "$service" \
    --entry="${entry_urls[1]}" --json "$@" 2>&1 || true
}

submit_by_ctl() {
  local body
  body=$(payload ctl-request)
  check "request by mulberryctl" "\"output\":\"$body\"" \
    "$(ctl_submit request --payload="${body//\\/}")"
  make_job ctl-task
  check "job by mulberryctl" "$outputs" \
    "$(ctl_submit job --file=- <<<"$job")"
}

# Each piece of work has started exactly once, on whatever it ran.
check_journals() {
  local starts distinct expected=$1
  starts=$(cat "$work"/*.journal | grep '"event":"start"' |
    grep -oE '"id":"[^"]*"' || true)
  distinct=$(sort -u <<<"$starts" | grep -c . || true)
  starts=$(grep -c . <<<"$starts" || true)
  echo "starts: $starts, of different work: $distinct"
  if [ "$starts" -ne "$expected" ] || [ "$distinct" -ne "$expected" ]; then
    echo "demo: $expected starts of different work were expected" >&2
    failures=$((failures + 1))
  fi
}

start_store
start_entries
start_agents
start_workers
wait_for "first entry" answers "${entry_urls[0]}/healthz"
wait_for "accepted configuration" patch_accepted "${entry_urls[0]}"
for url in "${entry_urls[@]}"; do
  wait_for "entry that knows all" entry_knows_all "$url"
done
submit_by_ctl
submit_by_http
check_journals $((2 * (tasks + 1)))
[ "$failures" -eq 0 ] || {
  show_logs
  exit 1
}
echo "demo: every answer was right"
