#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into build-review/.
# Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DMULBERRYSAIL_TESTS=OFF \
  -DCMAKE_PROJECT_mulberrysail_INCLUDE="$PWD/review/lib/standins.cmake"
cmake --build build-review -j 6 --target standin_platform_store \
  standin_platform_runner standin_proxy
