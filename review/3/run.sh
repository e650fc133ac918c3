#!/usr/bin/env bash
# An entry stands still for 2.96 s. Requests that reached it in the first tenth
# of a second wait in its sockets; their clients give up when their time budget is
# over, close their connections and send the jobs again to another entry.
source "$(dirname "$0")/../lib/cluster.sh"
readonly trouble=${TROUBLE:-1}

readonly entries=3 agents=9 jobs=3 gap_ms=30 freeze_ms=2960
readonly steps='[{"count":4,"cpu":1600,"mem-mb":256,"estimate-ms":900}]'
readonly spec='{"run_ms":900}'

# client NUMBER : sends a job, and again after no answer.
client() {
  local job sent
  job=$(printf 'abc%013x' "$1")
  sent=$(now_ms)
  submit 1 "$job" "$steps" "$spec"
  case $(cat "$work/status.1.$job") in
    000 | 502 | 504)
      sleep_until $((sent + deadline_ms + resend_ms))
      submit 2 "$job" "$steps" "$spec"
      ;;
  esac
}

start_system "$entries" "$agents"
begun=$(now_ms)
if [ "$trouble" != 0 ]; then
  note "entry-1 is stopped"
  signal entry-1 STOP
fi
clients=()
for ((i = 1; i <= jobs; ++i)); do
  client "$i" &
  clients+=($!)
  sleep_ms "$gap_ms"
done
sleep_until $((begun + freeze_ms))
if [ "$trouble" != 0 ]; then
  note "entry-1 is continued after $(($(now_ms) - begun)) ms"
  signal entry-1 CONT
fi
wait "${clients[@]}"
sleep 1
record_runs
fail_if_any TWICE "$(overlapping_runs abc)"
