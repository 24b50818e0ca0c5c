#!/usr/bin/env bash
# The whole path as separate processes: stand-ins, two agents and an entry on loopback.
# Usage: processes.sh PATH-OF-FULMARLINK. Ports are picked below the ephemeral range.
set -euo pipefail
fulmarlink=$1
work=$(mktemp -d)
base=$((20000 + $$ % 5000 * 2))
pids=()
finish() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT
die() { echo "FAILED: $*"; cat "$work"/*.log; exit 1; }

store=$((base)) entry=$((base + 1)) admin=$((base + 2)) link0=$((base + 3)) link1=$((base + 4)) link2=$((base + 5)) engine1=$((base + 6)) engine2=$((base + 7))
cat >"$work/hosts.json" <<HOSTS
[{"name":"entry-1","role":"entry","zone":"z1","address":"127.0.0.1","port":$link0,"state":"live"},
 {"name":"run-1","role":"pool","zone":"z1","address":"127.0.0.1","port":$link1,"state":"live"},
 {"name":"run-2","role":"pool","zone":"z2","address":"127.0.0.1","port":$link2,"state":"live"}]
HOSTS
cat >"$work/rules.yaml" <<RULES
rules:
  - name: notes
    when: {path_prefix: /v1/generate/note}
    then: {route: pool, idempotent: false}
  - name: limited
    when: {customer: hog}
    then: {route: pool, idempotent: true, limit: {tokens_per_second: 1, burst: 1}}
  - name: rest
    when: {}
    then: {route: pool, idempotent: true}
RULES
cat >"$work/entry.yaml" <<SETTINGS
host: entry-1
zone: z1
admin: {address: 127.0.0.1, port: $admin}
links: {address: 127.0.0.1, port: $link0}
platform:
  object_api: {address: 127.0.0.1, port: $store}
  host_list: {address: 127.0.0.1, port: $store}
  host_list_interval_ms: 200
entry:
  listen: {address: 127.0.0.1, port: $entry}
SETTINGS
for i in 1 2; do
    link=link$i engine=engine$i
    cat >"$work/agent$i.yaml" <<SETTINGS
host: run-$i
zone: z$i
links: {address: 127.0.0.1, port: ${!link}}
agent:
  pool: pool
  runner: {address: 127.0.0.1, port: ${!engine}}
  refusal_statuses: [503]
SETTINGS
done
"$fulmarlink" check "$work/entry.yaml" "$work/agent1.yaml" "$work/rules.yaml"

"$fulmarlink" standin --object-api 127.0.0.1:$store --hosts "$work/hosts.json" --rules "$work/rules.yaml" \
    --engine 127.0.0.1:$engine1 --engine 127.0.0.1:$engine2 >"$work/standin.log" 2>&1 &
pids+=($!)
for i in 1 2; do
    "$fulmarlink" agent "$work/agent$i.yaml" >"$work/agent$i.log" 2>&1 &
    pids+=($!)
done
"$fulmarlink" entry "$work/entry.yaml" >"$work/entry.log" 2>&1 &
entry_pid=$!
pids+=($entry_pid)

# Sends one request over bash's own sockets and prints the answer.
ask() {
    exec 3<>/dev/tcp/127.0.0.1/$entry
    printf 'POST %s HTTP/1.1\r\nHost: x\r\nX-Serial: %s\r\nX-Tokens: %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n' "$1" "$2" "$3" "$4" >&3
    cat <&3
    exec 3<&- 3>&-
}
ready() { "$fulmarlink" ctl status --object-api 127.0.0.1:$store --admin 127.0.0.1:$admin --json 2>/dev/null | grep -q '"key_slots":64'; }
for _ in $(seq 100); do ready && break; sleep 0.1; done
ready || die "the entry is not ready"

ask /v1/generate/explain s1 5 "" | tr -d '\r' >"$work/answer"
grep -q '^HTTP/1.1 200' "$work/answer" && grep -q 'data: s1 4' "$work/answer" && tail -n 2 "$work/answer" | grep -q '^0$' || die "no whole answer"
ask /v1/generate/note s2 5 $'Idempotency-Key: k1\r\n' >"$work/first"
ask /v1/generate/note s2 5 $'Idempotency-Key: k1\r\n' >"$work/second"
grep -q 'data: s2 4' "$work/first" && grep -q 'data: s2 4' "$work/second" || die "a repeated note has no answer"

# A customer's limit of one token a second: of three requests at once at least one is told to come back.
for i in 1 2 3; do ask /v1/generate/x l$i 1 $'X-Customer: hog\r\n' >>"$work/limited"; done
grep -q 'Fulmarlink-Result: 109 customer-limit' "$work/limited" && grep -qi '^Retry-After:' "$work/limited" || die "the limit is not enforced"

# Two operators race: the second is refused with exit code 3.
sed 's/name: rest/name: others/' "$work/rules.yaml" >"$work/rules2.yaml"
"$fulmarlink" ctl apply --object-api 127.0.0.1:$store --expect-version 1 "$work/rules2.yaml"
code=0
"$fulmarlink" ctl apply --object-api 127.0.0.1:$store --expect-version 1 "$work/rules.yaml" >"$work/race.log" 2>&1 || code=$?
[ $code = 3 ] || die "the second operator got exit code $code"
for _ in $(seq 50); do
    "$fulmarlink" ctl status --object-api 127.0.0.1:$store --admin 127.0.0.1:$admin >/dev/null && break
    sleep 0.1
done
"$fulmarlink" ctl status --object-api 127.0.0.1:$store --admin 127.0.0.1:$admin || die "the entry lags"

# A long answer is running when the entry is told to leave: it is finished, then exit 0.
ask /v1/generate/explain s3 400 "" >"$work/long" &
asker=$!
sleep 0.3
kill -TERM $entry_pid
wait $asker || die "the running answer was cut"
grep -q 'data: s3 399' "$work/long" || die "the running answer was cut"
code=0
wait $entry_pid || code=$?
[ $code = 0 ] || die "the entry left with exit code $code"
kill -TERM "${pids[1]}"
code=0
wait "${pids[1]}" || code=$?
[ $code = 0 ] || die "the agent left with exit code $code"
echo "processes: ok"
