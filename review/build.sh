#!/usr/bin/env bash
# Builds the program that each case's script starts, with its stand-ins, into
# the case's folder. Needs g++ and nlohmann-json3-dev, as the build of the
# deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
pids=()
for case in */case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" -o "${case%.cpp}" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
