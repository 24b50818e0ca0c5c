# Functions for the scripts of the cases: they start entry hosts by the command and the template of the deploy file.
# The script sets folder, a temporary folder in which "ports" has a line HOST CALLERS READINESS METRICS for each host and
# "store" the port of the platform's store.
declare -A host_pids=()

# Writes the settings of a host as the platform fills in deploy/gateway.yaml.in for a small deployment.
write_settings() {
    local host=$1 callers=$2 readiness=$3 metrics=$4
    sed -e "s/{{node_name}}/$host/" -e "s/{{zone}}/zone-a/" \
        -e "s/{{listen.front_addr}}/127.0.0.1:$callers/" -e "s/{{listen.ready_addr}}/127.0.0.1:$readiness/" \
        -e "s/{{ip}}:{{port_range.0}}/127.0.0.1:$metrics/" -e "s/{{platform.addr}}/127.0.0.1:$(cat "$folder/store")/" \
        -e "s/{{limits.link_mbps}}/1000.0/" -e "s/{{limits.max_fds}}/4100/" \
        -e "s/{{bounds.revoke_ms}}/5000/" -e "s/{{bounds.config_ms}}/2000/" -e "s/{{bounds.drain_ms}}/2000/" \
        -e "s/{{bounds.grace_s}}/8/" -e "s/{{bounds.stall_ms}}/1500/" -e "s/{{bounds.budget_window_s}}/10/" \
        -e "s/{{bounds.retry_ratio}}/0.2/" -e "s/{{bounds.retry_slack}}/94/" \
        deploy/gateway.yaml.in >"$folder/$host.yaml"
}

start_host() {
    target/fulmarlink gateway "$folder/$1.yaml" >>"$folder/$1.log" 2>&1 &
    host_pids[$1]=$!
}

start_hosts() {
    local host callers readiness metrics
    while read -r host callers readiness metrics; do
        write_settings "$host" "$callers" "$readiness" "$metrics"
        start_host "$host"
    done <"$folder/ports"
}

# Stops a host as the platform does: SIGTERM, and SIGKILL after grace_s.
stop_host() {
    local pid=${host_pids[$1]} i
    kill -TERM "$pid"
    for i in $(seq 80); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid"
}

# Ends all processes that the script has started.
end_all() {
    local pid
    for pid in "${host_pids[@]}" ${standin_pid:-}; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}

# Waits until the stand-in has written its ports; without them the case can't run.
await_ports() {
    local i
    for i in $(seq 100); do
        [ -s "$folder/ports" ] && return 0
        sleep 0.1
    done
    echo "the stand-in has not started" >&2
    exit 2
}
