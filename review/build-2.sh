#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/, after the
# deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for dir in review/[0-9]*; do
  n=${dir#review/}
  if [ "$n" -ge 6 ] && [ -f "$dir/case.cpp" ]; then
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-2/case-$n" \
      "$dir/case.cpp"
  fi
done
