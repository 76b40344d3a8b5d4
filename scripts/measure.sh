#!/usr/bin/env bash
# Measures the path with real processes on loopback, and prints lines of the
# form "measure NAME VALUE UNIT": one router, one side process, one engine.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

readonly ROOT=$PWD BIN=$PWD/bin SHARDS=4
NAME=measure
WORK=$ROOT/tmp/measure
UNCLEAN=0
CHECKS_FENCES=false
readonly IDLE_SECONDS=5
readonly SETTLE_SECONDS=4 # for new processes to register and connect
readonly SCALE_SECONDS=15

cleanup() {
	local status=$?
	trap '' INT TERM
	trap - EXIT
	stop "*-router-*"
	stop "*-side-*"
	stop "*"
	exit "$status"
}

secret() {
	od -An -N24 -tx1 /dev/urandom | tr -d ' \n'
}

ctl() {
	CAMPHOR_ADMIN=http://127.0.0.1:$((BASE + 12)) CAMPHOR_KEY=$OPERATOR_KEY "$BIN/camphorctl" "$@"
}

# pid_of NAME
pid_of() {
	local i
	for i in "${!NAMES[@]}"; do
		[[ ${NAMES[i]} != "$1" ]] || echo "${PIDS[i]}"
	done
}

# rss NAME: resident memory in MB.
rss() {
	awk '/^VmRSS/ {printf "%.1f", $2 * 1024 / 1000000}' "/proc/$(pid_of "$1")/status"
}

# cpu NAME: processor seconds so far.
cpu() {
	awk -v hz="$(getconf CLK_TCK)" '{printf "%.2f", ($14 + $15) / hz}' "/proc/$(pid_of "$1")/stat"
}

# emit NAME VALUE UNIT
emit() {
	echo "measure $1 $2 $3"
}

# spent BEFORE AFTER SECONDS: cores.
spent() {
	awk -v a="$1" -v b="$2" -v s="$3" 'BEGIN {printf "%.3f", (b - a) / s}'
}

prepare() {
	mkdir -p "$WORK"
	: >"$WORK/pids"
	pick_ports "$FLEET_PORTS"
	BASE=$BASE_PORT
	FLEET_KEY=$(secret)
	OPERATOR_KEY=$(secret)
	OPERATOR_HASH=$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
	start_platform "$BASE"
	start_router waco "$((BASE + 10))"
	add_vm vm-1 waco
	run measure-engine "$BIN/standin-engine" --listen "127.0.0.1:$((BASE + 50))" --models reader --slots 4096 --token-time 2ms
	write_side "$WORK/side.json" vm-1 waco server-1 "$((BASE + 51))" false
	run measure-side-1 "$BIN/camphor-side" --config "$WORK/side.json"
	await "http://127.0.0.1:$((BASE + 12))/readyz"
	cat >"$WORK/settings.json" <<-JSON
		{
		  "operators/root": {"name": "Root", "subtrees": ["*"], "top_ups": ["*"],
		    "key_hashes": ["$OPERATOR_HASH"]},
		  "models/reader": {"context_tokens": 16384},
		  "servers/server-1": {"vm": "vm-1", "data_centre": "waco", "models": ["reader"], "slots": 4096},
		  "teams/readers": {"models": ["reader"], "accounts": {"web": {}}, "max_output_tokens": 4096}
		}
	JSON
	ctl settings apply "$WORK/settings.json" >/dev/null
	ctl topup readers 2000000000 --id measure >/dev/null
	SECRET=$(ctl --output json key create readers web | sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
}

# idle: memory and processor time of processes without requests.
idle() {
	local router side
	router=$(cpu measure-router-waco)
	side=$(cpu measure-side-1)
	sleep "$IDLE_SECONDS"
	emit router.rss_idle "$(rss measure-router-waco)" MB
	emit side.rss_idle "$(rss measure-side-1)" MB
	emit router.cpu_idle "$(spent "$router" "$(cpu measure-router-waco)" "$IDLE_SECONDS")" cores
	emit side.cpu_idle "$(spent "$side" "$(cpu measure-side-1)" "$IDLE_SECONDS")" cores
}

overhead() {
	"$BIN/camphor-load" overhead --router "http://127.0.0.1:$((BASE + 10))" \
		--engine "http://127.0.0.1:$((BASE + 50))" --secret "$SECRET" --model reader
}

throughput() {
	local router side out elapsed
	router=$(cpu measure-router-waco)
	side=$(cpu measure-side-1)
	out=$("$BIN/camphor-load" throughput --router "http://127.0.0.1:$((BASE + 10))" \
		--secret "$SECRET" --model reader --requests 12000 --concurrent 600 --tokens 300)
	echo "$out"
	elapsed=$(awk '$2 == "path.throughput.elapsed" {print $3}' <<<"$out")
	emit path.throughput.router_cpu "$(spent "$router" "$(cpu measure-router-waco)" "$elapsed")" cores
	emit path.throughput.side_cpu "$(spent "$side" "$(cpu measure-side-1)" "$elapsed")" cores
	emit router.rss_loaded "$(rss measure-router-waco)" MB
	emit side.rss_loaded "$(rss measure-side-1)" MB
}

# lo_bytes: bytes sent over loopback so far.
lo_bytes() {
	awk '$1 == "lo:" {print $10}' /proc/net/dev
}

# add_side NUMBER: a further side process, before the same engine.
add_side() {
	local port=$((BASE + 52 + $1)) id=server-$1
	add_vm "vm-$1" waco
	write_side "$WORK/side-$1.json" "vm-$1" waco "$id" "$port" false
	sed -i "s|\"engine_url\": \"[^\"]*\"|\"engine_url\": \"http://127.0.0.1:$((BASE + 50))\"|; s|, \"debug_listen\": \"[^\"]*\"||" "$WORK/side-$1.json"
	echo "{\"vm\": \"vm-$1\", \"data_centre\": \"waco\", \"models\": [\"reader\"]}" >"$WORK/server-$1.json"
	ctl settings set "servers/$id" "$WORK/server-$1.json" >/dev/null
	run "measure-side-$1" "$BIN/camphor-side" --config "$WORK/side-$1.json"
}

# scale: what control costs a router as the number of side processes grows.
scale() {
	local count=1 target before bytes
	for target in 8 16 32 46; do
		while ((count < target)); do
			count=$((count + 1))
			add_side "$count"
		done
		sleep "$SETTLE_SECONDS"
		before=$(cpu measure-router-waco)
		bytes=$(lo_bytes)
		sleep "$SCALE_SECONDS"
		emit "capacity.router.cpu_at_${target}_sides" \
			"$(spent "$before" "$(cpu measure-router-waco)" "$SCALE_SECONDS")" cores
		emit "capacity.router.rss_at_${target}_sides" "$(rss measure-router-waco)" MB
		emit "capacity.loopback.bytes_at_${target}_sides" \
			"$(awk -v a="$bytes" -v b="$(lo_bytes)" -v s="$SCALE_SECONDS" 'BEGIN {printf "%.0f", (b - a) / s}')" bytes_per_s
	done
}

trap cleanup EXIT
trap 'exit 130' INT TERM
prepare
idle
scale
overhead
throughput
