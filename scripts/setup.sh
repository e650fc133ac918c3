#!/usr/bin/env bash
# Installs what the project needs on Debian 12. Safe to run again.
set -euo pipefail
readonly packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy make
  librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev
  libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  prometheus-cpp-dev libcurl4-openssl-dev libcxxopts-dev
  libspdlog-dev libboost1.81-dev libcppunit-dev
  nlohmann-json3-dev libxxhash-dev curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
