#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start, stand-ins
# included, into target/review-2/. It runs after the build of the deploy file
# and needs no package beside those that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra)
objects=()
for source in review/lib-2/*.cpp; do
  object=$out/$(basename "$source" .cpp).o
  rm -f "$object"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for object in "${objects[@]}"; do
  [ -f "$object" ]
done
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -pthread -o "$out/case-$number"
done
