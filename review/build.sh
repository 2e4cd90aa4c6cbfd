#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/bin. The sources end in
# .cpp and .hpp, which keeps them out of scripts/lint.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
objects=()
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -I. -c "$1" -o "$2"
}
pids=()
for source in lab/*.cpp; do
  object="bin/$(basename "$source" .cpp).o"
  objects+=("$object")
  compile "$source" "$object" &
  pids+=($!)
done
for source in */case.cpp; do
  compile "$source" "bin/case-${source%%/*}.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in */case.cpp; do
  name="bin/case-${source%%/*}"
  g++ -pthread "$name.o" "${objects[@]}" -o "$name"
done
