#!/usr/bin/env bash
# A heartbeat is held up by a partition between a runner and its agent. The
# runner crashes; a new boot of another kind registers at the same address; then
# the held heartbeat arrives. Jobs that require the old kind follow.
source "$(dirname "$0")/../lib/cluster.sh"
readonly trouble=${TROUBLE:-1}

readonly entries=2 agents=9 jobs=8
readonly steps='[{"count":1,"cpu":1600,"mem-mb":256,"estimate-ms":100,"requires":"a"}]'
readonly spec='{"run_ms":100}'
# Times from the beginning of the partition. It ends within 5.5 s.
readonly crash_ms=1700 restart_ms=3700 registered_ms=4000

proxy=$(address_of proxy-1)
start_proxy 1 "$control_port" "$(address_of agent-1):$control_port"
start_store
write_configuration
for ((i = 1; i <= entries; ++i)); do start_daemon entry "$i"; done
for ((i = 1; i <= agents; ++i)); do start_daemon agent "$i"; done
start_runner 1 i-1-1 "a,r1-1" 16000 "http://$proxy:$control_port"
for ((i = 2; i <= agents; ++i)); do
  start_runner "$i" "i-$i-1" "b,r1-$i" 16000
done
for ((i = 1; i <= entries; ++i)); do
  wait_for "runners at entry-$i" knows_workers "$i" "$agents"
  wait_for "service at entry-$i" is_served "$i"
done
submit 1 abc0000000000000 "$steps" "$spec"
[ "$(cat "$work/status.1.abc0000000000000")" = 200 ] ||
  cannot_run "the first boot of runner-1 was given no task"

begun=$(now_ms)
if [ "$trouble" != 0 ]; then
  note "runner-1 and agent-1 are partitioned"
  control proxy-1 '{"mode":"freeze"}'
fi
sleep_until $((begun + crash_ms))
note "runner-1 crashes"
signal runner-1 KILL
mv "$work/runner-1.journal" "$work/runner-1-first.journal"
sleep_until $((begun + restart_ms))
note "runner-1 is back, with another id and of another kind"
start_runner 1 i-1-2 "b,r1-1" 16000
sleep_until $((begun + registered_ms))
if [ "$trouble" != 0 ]; then
  note "the held heartbeat arrives, $(($(now_ms) - begun)) ms after the" \
    "partition began"
  control proxy-1 '{"mode":"pass"}'
fi
for ((i = 1; i <= jobs; ++i)); do
  submit 1 "$(printf 'abc%013x' "$i")" "$steps" "$spec" &
  sleep_ms 120
done
sleep 2
record_runs
found=
if [ -e "$work/runner-1.journal" ]; then
  found=$(grep '"event":"start"' "$work/runner-1.journal" | grep '"id":"abc' ||
    true)
fi
fail_if_any ROUTE "$found"
