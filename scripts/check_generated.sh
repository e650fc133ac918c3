#!/usr/bin/env bash
# Compares the committed generated code with what protoc makes of the .proto
# file; with --write replaces it. Without the same protoc it checks nothing.
set -euo pipefail
readonly protocol=packages/protocol
readonly wanted="libprotoc 3.21.12"
if ! command -v protoc > /dev/null; then
  echo "protoc is not installed: generated code not checked"
  exit 0
fi
if [ "$(protoc --version)" != "$wanted" ]; then
  echo "protoc is not $wanted: generated code not checked"
  exit 0
fi
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
protoc --proto_path="$protocol" --cpp_out="$output" \
  "$protocol/mulberrysail.proto"
if [ "${1:-}" = "--write" ]; then
  cp "$output"/* "$protocol/generated/"
else
  diff -r "$output" "$protocol/generated" || {
    echo "run scripts/check_generated.sh --write and commit the result"
    exit 1
  }
fi
