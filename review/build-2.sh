#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on into target/review-2/: the shared ones, the project's own that they use, and
# a program for each folder review/N/src. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized -I. -isystem proto -DFULMARLINK_VERSION='"review"')
shared=(standins/platformfleet.cpp fulmarlink/httpserver.cpp fulmarlink/log.cpp fulmarlink/clock.cpp)

compile() {
    local object=$1 source=$2
    if [ ! -e "$object" ] || [ -n "$(find "$source" review/standin-2 -newer "$object" -print -quit)" ]; then
        g++ "${flags[@]}" -c "$source" -o "$object"
    fi
}
export -f compile

jobs=()
objects=()
for source in "${shared[@]}" review/standin-2/*.cpp; do
    object=$out/objects/$(echo "$source" | tr '/' '_').o
    objects+=("$object")
    compile "$object" "$source" &
    jobs+=($!)
done
for source in review/[4-8]/src/*.cpp; do
    [ -e "$source" ] || continue
    compile "$out/objects/$(echo "$source" | tr '/' '_').o" "$source" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for folder in review/[4-8]/src; do
    [ -d "$folder" ] || continue
    case=$(basename "$(dirname "$folder")")
    g++ "$out/objects/review_${case}_src_"*.o "${objects[@]}" -lboost_json -llog4cxx -lpthread -o "$out/case-$case"
done
