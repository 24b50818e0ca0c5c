#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/: a program for each case, with the parts that they share.
# Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$1" -o "$out/$(basename "${1%.cpp}").o"; }
pids=()
for source in review/standin/*.cpp review/[0-9]/*.cpp; do
    compile "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
shared=()
for source in review/standin/*.cpp; do shared+=("$out/$(basename "${source%.cpp}").o"); done
for source in review/[0-9]/*.cpp; do
    program=$out/$(basename "${source%.cpp}")
    g++ -o "$program" "$program.o" "${shared[@]}" -lboost_json -lpthread
done
