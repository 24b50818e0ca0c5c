#!/usr/bin/env bash
# Clients that send more than a gateway may hold, against one real gateway with lowered limits.
#   testing/crowd.sh FULMARLINK CROWD CASE [OPTION]
# CROWD plays the store, the runners, the clients and the judge; its verdict is the result. On failure the logs are kept.
set -u
fulmarlink=$1 crowd=$2 case=$3
shift 3
folder=$(mktemp -d)
gateway=
finish() { [ -z "$gateway" ] || { kill -KILL "$gateway"; wait "$gateway"; } 2>/dev/null; }
trap finish EXIT

"$crowd" "$@" "$case" "$folder" &
world=$!
for _ in $(seq 100); do [ -s "$folder/ready" ] && break; sleep 0.1; done
[ -s "$folder/ready" ] || exit 2
"$fulmarlink" gateway "$folder/gateway.yaml" >"$folder/gateway.log" 2>&1 &
gateway=$!
echo $gateway >"$folder/pid"
wait "$world"
verdict=$?
if [ $verdict -eq 0 ]; then rm -rf "$folder"; else echo "case $case failed; logs in $folder"; fi
exit $verdict
