#!/usr/bin/env bash
# Runs clang-tidy over the sources. A file is checked again only when its
# compile command, its own text or a header of the project has changed.
set -euo pipefail
build=$1
jobs=$2
stamps=$build/lint
mkdir -p "$stamps"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy scripts/lint.sh |
  grep -v '\.pb\.h' | sort | xargs cat | sha1sum | cut -c1-16)
check() {
  local build=$1 stamps=$2 headers=$3 file=$4
  local key
  key=$(sha1sum "$file" | cut -c1-16)-$headers-$(echo "$file" | tr '/' '_')
  [ -f "$stamps/$key" ] && return 0
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null || {
    echo "lint failed: $file"
    return 1
  }
  touch "$stamps/$key"
}
export -f check
git ls-files -co --exclude-standard '*.cpp' | grep -v '\.pb\.' |
  xargs -P "$jobs" -I{} bash -c 'check "$@"' _ "$build" "$stamps" "$headers" {}
