#!/usr/bin/env bash
# Connections of one entry are reset: those of its agents and that of a client.
# The client sends its job again, 1.3 s later, to another entry. One runner is
# slow, so that a task of the job is still at work then.
source "$(dirname "$0")/../lib/cluster.sh"
readonly trouble=${TROUBLE:-1}

readonly entries=3 agents=9 slowdown=4 reset_after_ms=50
readonly job=abc0000000000001
readonly steps='[{"count":4,"cpu":1600,"mem-mb":256,"estimate-ms":900}]'
readonly spec='{"run_ms":900}'

# Ordinary traffic of other clients at entry-1, over connections that are not
# reset: one short job each 40 ms.
traffic() {
  local i
  for ((i = 0; i < 75; ++i)); do
    submit 1 "$(printf '%016x' $((4096 + i)))" \
      '[{"count":2,"cpu":800,"mem-mb":256,"estimate-ms":200}]' \
      '{"run_ms":200}' &
    sleep_ms 40
  done
  wait
}

proxy=$(address_of proxy-1)
advertised[1]=$proxy:$message_port
start_proxy 1 "$message_port,$frontend_port" \
  "$(address_of entry-1):$message_port,$(address_of entry-1):$frontend_port"
start_system "$entries" "$agents"
[ "$trouble" = 0 ] || control runner-1 '{"speed":'"$slowdown"'}'
traffic &
traffic_pid=$!
sleep 0.5

note "entry-1 has $(connections_of entry-1) connections without that of the" \
  "client whose job is repeated"
begun=$(now_ms)
submit 1 "$job" "$steps" "$spec" "$proxy" &
first=$!
if [ "$trouble" != 0 ]; then
  sleep_until $((begun + reset_after_ms))
  note "$((agents + 1)) connections of entry-1 are reset"
  control proxy-1 '{"mode":"cut"}'
  control proxy-1 '{"mode":"pass"}'
fi
wait "$first"
ended=$(now_ms)
case $(cat "$work/status.1.$job") in
  000 | 502 | 504)
    sleep_until $((ended + resend_ms))
    submit 2 "$job" "$steps" "$spec"
    ;;
esac
wait "$traffic_pid"
sleep 1
record_runs
fail_if_any TWICE "$(overlapping_runs "$job")"
