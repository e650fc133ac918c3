#!/usr/bin/env bash
# Runs the program of one case in the repository's root, with a temporary
# folder, and passes its exit code on: 0 held, 1 broken, 2 couldn't run.
set -u
case_folder=$(cd "$1" && pwd)
cd "$case_folder/../.." || exit 2
program=target/review-3/case-$(basename "$case_folder")
if [ ! -x target/bin/mulberrysaild ] || [ ! -x "$program" ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 115 "$program" "$case_folder/record.txt" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
