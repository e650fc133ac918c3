#!/usr/bin/env bash
# Builds the programs of the cases review/N/scenario.cpp with their stand-ins
# (review/lib-3) into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile() {
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -Werror "$@" -pthread
}
pids=()
for source in review/lib-3/*.cpp; do
  compile -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in review/1[1-5]/scenario.cpp; do
  name=$(basename "$(dirname "$source")")
  compile "$source" "$out"/*.o -o "$out/case-$name"
done
