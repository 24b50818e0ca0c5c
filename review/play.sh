#!/usr/bin/env bash
# Plays a case: play.sh STANDIN FOLDER. Starts the stand-in and the gateways that it asks for, with settings
# made from deploy/gateway.yaml.in, and ends all of them. Exits with the stand-in's verdict.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
standin=$root/target/review/$1
folder=$2
gateway=$root/target/fulmarlink
[ -x "$standin" ] && [ -x "$gateway" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
temp=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; done
    rm -rf "$temp"
}
trap finish EXIT
trap 'exit 2' INT TERM

"$standin" "$temp" "$folder/record.txt" &
world=$!
pids+=("$world")
for _ in $(seq 100); do [ -e "$temp/gateways" ] && break; sleep 0.1; done
[ -e "$temp/gateways" ] || exit 2
while read -r name callers readiness metrics store; do
    sed -e "s/{{node_name}}/$name/; s/{{zone}}/lx-alfragide/" \
        -e "s/{{listen.front_addr}}/127.0.0.1:$callers/; s/{{listen.ready_addr}}/127.0.0.1:$readiness/" \
        -e "s/{{ip}}:{{port_range.0}}/127.0.0.1:$metrics/; s/{{platform.addr}}/127.0.0.1:$store/" \
        -e "s/{{limits.link_mbps}}/1000.0/; s/{{limits.max_fds}}/4100/" \
        -e "s/{{bounds.revoke_ms}}/5000/; s/{{bounds.config_ms}}/2000/; s/{{bounds.drain_ms}}/2000/" \
        -e "s/{{bounds.grace_s}}/8/; s/{{bounds.stall_ms}}/1500/; s/{{bounds.budget_window_s}}/10/" \
        -e "s/{{bounds.retry_ratio}}/0.2/; s/{{bounds.retry_slack}}/94/" \
        "$root/deploy/gateway.yaml.in" >"$temp/$name.yaml"
    (cd "$root" && exec "$gateway" gateway "$temp/$name.yaml") >"$temp/$name.log" 2>&1 &
    pids+=($!)
done <"$temp/gateways"
wait "$world"
verdict=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$temp"/*.log "$KEEP_LOGS"/
exit "$verdict"
