#!/usr/bin/env bash
# Fault soak: real gateways as separate processes, harmed from outside.
#   testing/soak.sh FULMARLINK SOAK SEED SECONDS
# Stops, pauses, kills and reloads the gateways by signals in overlapping series; the proxies,
# store and runners in SOAK do the rest. Ends with SOAK's verdict; on failure the logs are kept.
set -u
fulmarlink=$1 soak=$2 seed=$3 seconds=$4
folder=$(mktemp -d)
RANDOM=$seed
declare -a pids

start() { "$fulmarlink" gateway "$folder/gateway-$1.yaml" >>"$folder/gateway-$1.log" 2>&1 & pids[$1]=$!; }
finish() { for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done; }
trap finish EXIT

"$soak" --seed "$seed" --seconds "$seconds" "$folder" >"$folder/soak.log" 2>&1 &
world=$!
for _ in $(seq 100); do [ -s "$folder/ready" ] && break; sleep 0.1; done
read -r ready <"$folder/ready"
# Tells the world which gateway stands still (1) or goes on (0) from now on.
note() { echo "$1 $(($(date +%s%3N) - ready)) $2" >>"$folder/signals"; }
for i in 0 1 2; do start $i; done
end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
    sleep "0.$((RANDOM % 9 + 1))"
    i=$((RANDOM % 3))
    pid=${pids[$i]}
    case $((RANDOM % 10)) in
    0) note $i 1; kill -KILL "$pid"; wait "$pid" 2>/dev/null; start $i; note $i 0 ;;
    1) kill -TERM "$pid" ;;                    # drains on while others are harmed
    2 | 3) note $i 1; kill -STOP "$pid"; (sleep "$((RANDOM % 3)).$((RANDOM % 10))"; kill -CONT "$pid" 2>/dev/null; note $i 0) & ;;
    4) kill -HUP "$pid" ;;
    esac
    for j in 0 1 2; do kill -0 "${pids[$j]}" 2>/dev/null || { note $j 1; start $j; note $j 0; }; done
done
wait "$world"
verdict=$?
cat "$folder/soak.log"
if [ $verdict -eq 0 ]; then rm -rf "$folder"; else echo "seed $seed failed; logs in $folder"; fi
exit $verdict
