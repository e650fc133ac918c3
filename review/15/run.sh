#!/usr/bin/env bash
exec "$(dirname "$0")/../lib-3/run-case.sh" "$(dirname "$0")"
