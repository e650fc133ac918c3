#!/usr/bin/env bash
# Runs clang-tidy over the sources. A file is checked again only when its own
# text, a header of the project that it includes, or a setting of the check has
# changed.
set -euo pipefail
build=$1
jobs=$2
stamps=$build/lint
mkdir -p "$stamps"

# One line "SOURCE HEADER" for each project file that a source includes, from
# the dependencies that the build has recorded.
list_includes() {
  ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /^[^ ]/ { source = ""; next }
    NF == 1 {
      path = $1
      if (index(path, root) == 1) path = substr(path, length(root) + 1)
      sub(/^\.\.\//, "", path)
      if (path ~ /^\// || path ~ /\.pb\./) next
      if (source == "") source = path
      print source, path
    }' | sort -u
}
includes=$stamps/includes
list_includes > "$includes"

check() {
  local build=$1 stamps=$2 includes=$3 file=$4
  local inputs key
  inputs=$(awk -v file="$file" '$1 == file { print $2 }' "$includes")
  # A source without recorded dependencies depends on all headers.
  [ -n "$inputs" ] || inputs=$(git ls-files -co --exclude-standard '*.h')
  key=$(printf '%s\n' .clang-tidy scripts/lint.sh "$file" $inputs | sort -u |
    xargs cat | sha1sum | cut -c1-24)-$(echo "$file" | tr '/' '_')
  [ -f "$stamps/$key" ] && return 0
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null || {
    echo "lint failed: $file"
    return 1
  }
  touch "$stamps/$key"
}
export -f check
git ls-files -co --exclude-standard '*.cpp' | grep -v '\.pb\.' |
  xargs -P "$jobs" -I{} bash -c 'check "$@"' _ "$build" "$stamps" "$includes" {}
