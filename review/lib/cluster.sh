# Functions for the scripts of the cases: a small deployment on loopback
# addresses, made of the daemon that the deploy file builds and of stand-ins
# that review/build.sh builds. Sourced by review/*/run.sh.
#
# Exit codes of a script: 0 the rule held, 1 it was broken, 2 the case could not
# run. With TROUBLE=0 a script does the same without the disruption.

set -euo pipefail

case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
repository=$(cd "$case_dir/../.." && pwd)
daemon=$repository/target/bin/mulberrysaild
standins=$repository/build-review/bin
record=$case_dir/record.txt
readonly case_dir repository daemon standins record

readonly ready_timeout_s=30
readonly frontend_port=8161 message_port=7735 control_port=8166
readonly readiness_port=8167 runner_port=8080 store_port=8169 http_port=9464
readonly proxy_control_port=9000
# The time budget of the site's requests and its resend-ms.
readonly deadline_ms=1500 resend_ms=1300
readonly zones=3
readonly host=photo.example prefix=/photo/

work=$(mktemp -d)
readonly work
# Two octets of the loopback network that no other run of a case uses at a time.
network=127.$((64 + RANDOM % 128)).$((RANDOM % 256))
readonly network
declare -A pids=()

: >"$record"

# note TEXT... : a line of record.txt, with the time of day in milliseconds.
note() { echo "$(date +%s%3N) $*" >>"$record"; }

cannot_run() {
  note "could not run: $*"
  echo "could not run: $*" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 2
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENTS...
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
  disown "$!"
}

signal() { kill "-$2" "${pids[$1]}"; }

# address_of NAME : each process of the deployment has an address of its own.
address_of() {
  local number=${1##*-}
  case $1 in
    store) echo "$network.1" ;;
    entry-*) echo "$network.$((10 + number))" ;;
    agent-*) echo "$network.$((30 + number))" ;;
    runner-*) echo "$network.$((60 + number))" ;;
    proxy-*) echo "$network.$((90 + number))" ;;
  esac
}

# zone_of NAME : machines are spread over the zones by turns.
zone_of() { echo "z$(((${1##*-} - 1) % zones + 1))"; }

# render ROLE NUMBER : the settings of a daemon from the template of deploy/.
render() {
  local name=$1-$2 ip
  ip=$(address_of "$name")
  sed -e "s|{{node-name}}|$name|; s|{{zone}}|$(zone_of "$name")|; s|{{ip}}|$ip|" \
    -e "s|{{internal-port-range.1}}|$message_port|" \
    -e "s|{{listen-addrs.frontend}}|$ip:$frontend_port|" \
    -e "s|{{listen-addrs.readiness}}|$ip:$readiness_port|" \
    -e "s|{{listen-addrs.control}}|$ip:$control_port|" \
    -e "s|{{limits.cpu-share}}|0.25|" \
    -e "s|{{platform.address}}|$(address_of store):$store_port|" \
    -e "s|{{app}}|$(address_of "runner-$2"):$runner_port|" \
    "$repository/deploy/$1.json" >"$work/$name.json"
}

# start_daemon ROLE NUMBER : an entry for which advertised[NUMBER] is set tells
# agents and other entries to reach it at that IP:PORT, where a proxy listens.
declare -A advertised=()
start_daemon() {
  render "$1" "$2"
  if [ "$1" = entry ] && [ -n "${advertised[$2]:-}" ]; then
    sed -i "s|\"role\": \"entry\",|&\n  \"advertise\": {\n    \"message_url\": \"tcp://${advertised[$2]}\" },|" \
      "$work/$1-$2.json"
  fi
  start "$1-$2" "$daemon" --settings "$work/$1-$2.json"
}

# start_runner NUMBER ID LABELS MILLICORES [CONTROL-URL]
start_runner() {
  local name=runner-$1 ip control
  ip=$(address_of "$name")
  control=${5:-http://$(address_of "agent-$1"):$control_port}
  start "$name" "$standins/standin_platform_runner" \
    --listen-address="$ip" --listen-port="$runner_port" --id="$2" \
    --own-address="$ip:$runner_port" --labels="$3" --millicores="$4" \
    --zone="$(zone_of "$name")" --heartbeat-ms="${heartbeat_ms:-1500}" --control="$control" \
    --journal-file="$work/$name.journal"
}

# start_proxy NUMBER LISTEN-PORTS TARGETS : POST /control to its port 9000 sets
# the mode of its links.
start_proxy() {
  local ip
  ip=$(address_of "proxy-$1")
  start "proxy-$1" "$standins/standin_proxy" --listen-address="$ip" \
    --listen="$2" --target="$3" --control-port="$proxy_control_port"
  wait_for proxy answers "http://$ip:$proxy_control_port/control"
}

# control NAME BODY : steers a stand-in.
control() {
  local port=$runner_port
  case $1 in
    proxy-*) port=$proxy_control_port ;;
    store) port=$store_port ;;
  esac
  curl -sf --max-time 5 "http://$(address_of "$1"):$port/control" -d "$2" \
    >/dev/null || cannot_run "$1 could not be steered"
}

answers() { curl -sf --max-time 2 "$1" >/dev/null; }

# wait_for WHAT COMMAND... : until the command succeeds.
wait_for() {
  local what=$1 end=$((SECONDS + ready_timeout_s))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || cannot_run "no $what in $ready_timeout_s s"
    sleep 0.05
  done
}

knows_workers() {
  local found
  found=$(curl -s --max-time 2 "http://$(address_of "entry-$1"):$http_port/v1/workers" |
    grep -o '"rack"' | wc -l)
  [ "$found" -ge "$2" ]
}

start_store() {
  local ip
  ip=$(address_of store)
  start store "$standins/standin_platform_store" \
    --listen-address="$ip" --listen-port="$store_port"
  wait_for store answers "http://$ip:$store_port/control"
}

# write_configuration : one queue, as the operator writes it.
write_configuration() {
  local config='{"version":3,"routes":[{"name":"q-1","host":"'$host'",
    "prefix":"'$prefix'","kind":"non_idempotent","timeout-ms":1500,
    "target-duration-ms":60,"service":"photo","max-attempts":2,
    "slack-factor":1.6}],"services":[{"name":"photo"}],"limits":{}}'
  curl -sf --max-time 5 "http://$(address_of store):$store_port/kv-txn" -d '{
    "put":[{"key":"op/config","value":"'"$(base64 -w0 <<<"$config")"'"}],
    "remove":[]}' >/dev/null || cannot_run "the configuration was not stored"
}

# submit ENTRY ID STEPS SPEC [ADDRESS] : sends a job as a client does, which closes its
# connection when its time budget is over. Writes the answer to record.txt and
# the status, 000 without an answer, to the file status.ENTRY.ID.
submit() {
  local status
  note "sent job $2 to entry-$1"
  status=$(curl -s -o "$work/body.$1.$2" -w '%{http_code}' \
    --max-time "$(awk "BEGIN { print $deadline_ms / 1000 }")" \
    -H "Host: $host" -H "Content-Type: application/json" \
    -H "Deadline-Ms: $deadline_ms" \
    -d '{"best-effort":true,"spec":"'"${4//\"/\\\"}"'","steps":'"$3"'}' \
    "http://${5:-$(address_of "entry-$1")}:$frontend_port$prefix$2") || true
  note "answer to job $2 at entry-$1: $status" \
    "$(cat "$work/body.$1.$2" 2>/dev/null || true)"
  echo "$status" >"$work/status.$1.$2"
}

# sleep_ms MILLISECONDS
sleep_ms() { sleep "$(awk "BEGIN { print $1 / 1000 }")"; }

# sleep_until TIME : until a time of day in milliseconds.
sleep_until() {
  local left=$(($1 - $(date +%s%3N)))
  [ "$left" -le 0 ] || sleep_ms "$left"
}

now_ms() { date +%s%3N; }

# is_served ENTRY : whether a small job is completed there.
is_served() {
  local id
  id=$(printf '%016x' $((RANDOM * 32768 + RANDOM)))
  submit "$1" "$id" '[{"count":1,"cpu":100,"mem-mb":64,"estimate-ms":10}]' \
    '{"run_ms":10}'
  [ "$(cat "$work/status.$1.$id")" = 200 ]
}

# start_system ENTRIES AGENTS : the store, the entries, and the agents with a
# runner each; until each entry knows all runners and serves.
start_system() {
  local i
  start_store
  write_configuration
  for ((i = 1; i <= $1; ++i)); do start_daemon entry "$i"; done
  for ((i = 1; i <= $2; ++i)); do
    start_daemon agent "$i"
    start_runner "$i" "i-$i" "a,r1-$i" 16000
  done
  for ((i = 1; i <= $1; ++i)); do
    wait_for "runners at entry-$i" knows_workers "$i" "$2"
    wait_for "service at entry-$i" is_served "$i"
  done
}

# Copies what the runners have started and ended to record.txt.
record_runs() {
  local journal name
  for journal in "$work"/runner-*.journal; do
    name=$(basename "$journal" .journal)
    sed "s/^/$name /" "$journal" >>"$record"
  done
}

# connections_of NAME : how many TCP connections of the process are established.
connections_of() {
  readlink "/proc/${pids[$1]}"/fd/* | sed -n 's/^socket:\[\(.*\)\]$/\1/p' |
    awk 'NR == FNR { own[$1] = 1; next } $4 == "01" && ($10 in own) { ++n }
      END { print n + 0 }' - /proc/net/tcp
}

# overlapping_runs ID : the pairs of runs of one task of the job that were at
# work at the same time, from the journals of the runners.
overlapping_runs() {
  local journal
  for journal in "$work"/runner-*.journal; do
    sed "s/^/$(basename "$journal" .journal) /" "$journal"
  done | awk -v job="$1" '
    function field(name, text) {
      text = $0
      if (!sub(".*\"" name "\":\"?", "", text)) return ""
      sub("[\",}].*", "", text)
      return text
    }
    {
      task = field("id"); run = $1 " " field("run"); at = field("mono_us")
      if (index(task, job) != 1) next
      if (field("event") == "start") {
        begun[run] = at; of[run] = task; order[++runs] = run
      } else if (run in begun && !(run in ended)) ended[run] = at
    }
    END {
      for (i = 1; i <= runs; ++i)
        for (j = i + 1; j <= runs; ++j) {
          a = order[i]; b = order[j]
          if (of[a] != of[b]) continue
          from = begun[a] > begun[b] ? begun[a] : begun[b]
          to = 9e18
          if (a in ended && ended[a] < to) to = ended[a]
          if (b in ended && ended[b] < to) to = ended[b]
          if (from < to) printf "%s: %s and %s, together for %.1f ms\n",
                                of[a], a, b, (to - from) / 1000
        }
    }'
}

# fail_if_any RULE FINDINGS : ends the script by what was found.
fail_if_any() {
  if [ -n "$2" ]; then
    note "$1 broken:"$'\n'"$2"
    echo "$1 broken:"$'\n'"$2"
    exit 1
  fi
  note "$1 held"
  echo "$1 held"
}
