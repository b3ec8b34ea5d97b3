#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, with their stand-ins,
# into review/build. Needs g++ and nlohmann-json3-dev, as the build of the
# deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
pids=()
for case in */case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" \
    -o "build/case-${case%%/*}" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
