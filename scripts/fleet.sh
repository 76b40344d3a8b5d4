# Functions to start and stop a demo fleet on loopback; sourced by demo.sh.
# Every process is a child of the script, known by its pid and ended by it.

readonly STOP_SECONDS=20  # for a graceful stop before a process is killed
readonly READY_WAIT=20s   # for a process to answer
readonly FLEET_PORTS=100  # ports of one fleet
readonly FIRST_PORT=21000 # below the range that the system gives to clients
readonly LAST_PORT=30000

NAMES=() # of the running processes
PIDS=()  # in the same order

# port_free PORT: nothing listens there.
port_free() {
	! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# pick_ports COUNT: sets BASE_PORT to the first port of a block of free ones,
# and holds a lock on the block for as long as this script or one of the
# processes that it starts lives: another demo takes another block.
pick_ports() {
	local base port free lock
	for ((base = FIRST_PORT; base + $1 <= LAST_PORT; base += $1)); do
		exec {lock}>"${TMPDIR:-/tmp}/camphor-demo-$base.lock"
		free=1
		flock --nonblock "$lock" || free=0
		for ((port = base; free && port < base + $1; port++)); do
			port_free "$port" || free=0
		done
		if ((free)); then
			BASE_PORT=$base
			return
		fi
		exec {lock}>&-
	done
	echo "demo: no $1 free ports in a row between $FIRST_PORT and $LAST_PORT" >&2
	return 1
}

# run NAME PROGRAM ARGS...: starts a process with its log in the work folder.
run() {
	local name=$1
	shift
	nohup "$@" </dev/null >"$WORK/$name.log" 2>&1 &
	NAMES+=("$name")
	PIDS+=($!)
	echo "$! $name" >>"$WORK/pids"
}

# await URL: waits until the address answers with success.
await() {
	"$BIN/camphor-load" call GET "$1" --wait "$READY_WAIT" --quiet || {
		echo "demo: $1 does not answer; the logs are in $WORK" >&2
		return 1
	}
}

# alive: fails, and names the process, if one that was started has ended.
alive() {
	local i
	for i in "${!PIDS[@]}"; do
		if ! kill -0 "${PIDS[i]}" 2>/dev/null; then
			echo "demo: ${NAMES[i]} has ended:" >&2
			tail -n 3 "$WORK/${NAMES[i]}.log" >&2
			return 1
		fi
	done
}

# stop PATTERN: ends the running processes whose names match, all at once, and
# waits for them. Counts those that were not graceful in UNCLEAN.
stop() {
	local i status deadline
	local matched=()
	for i in "${!NAMES[@]}"; do
		if [[ ${NAMES[i]} == $1 ]]; then
			matched+=("$i")
			kill -TERM "${PIDS[i]}" 2>/dev/null || true
		fi
	done
	deadline=$((SECONDS + STOP_SECONDS))
	for i in "${matched[@]}"; do
		while kill -0 "${PIDS[i]}" 2>/dev/null && ((SECONDS < deadline)); do
			sleep 0.05
		done
		if kill -0 "${PIDS[i]}" 2>/dev/null; then
			echo "demo: ${NAMES[i]} did not stop and is killed" >&2
			kill -KILL "${PIDS[i]}" 2>/dev/null || true
		fi
		status=0
		wait "${PIDS[i]}" 2>/dev/null || status=$?
		if ((status != 0)); then
			echo "demo: ${NAMES[i]} ended with status $status; see $WORK/${NAMES[i]}.log" >&2
			UNCLEAN=$((UNCLEAN + 1))
		fi
		unset "NAMES[i]" "PIDS[i]"
	done
}

# write_router FILE VM DC PORT: settings of a router with its three listeners.
write_router() {
	cat >"$1" <<-JSON
		{
		  "vm": "$2", "data_centre": "$3",
		  "listen": "127.0.0.1:$4", "internal_listen": "127.0.0.1:$(($4 + 1))",
		  "internal_advertise": "127.0.0.1:$(($4 + 1))", "admin_listen": "127.0.0.1:$(($4 + 2))",
		  "platform_url": "$PLATFORM", "fleet_key": "$FLEET_KEY", "ledger_shards": $SHARDS,
		  "bootstrap_operator_key_hash": "$OPERATOR_HASH", "log_level": "info",
		  "peers": []
		}
	JSON
}

# write_side FILE VM DC SERVER PORT SERVICE: settings of a side process; its
# engine listens on the port before its own.
write_side() {
	cat >"$1" <<-JSON
		{
		  "vm": "$2", "data_centre": "$3", "server": "$4",
		  "internal_listen": "127.0.0.1:$5", "internal_advertise": "127.0.0.1:$5",
		  "platform_url": "$PLATFORM", "fleet_key": "$FLEET_KEY", "ledger_shards": $SHARDS,
		  "engine_url": "http://127.0.0.1:$(($5 - 1))", "service": $6, "checks_fences": $CHECKS_FENCES,
		  "log_level": "info", "debug_listen": "127.0.0.1:$(($5 + 1))"
		}
	JSON
}

# add_vm ID DC: puts a VM on the platform's list.
add_vm() {
	"$BIN/camphor-load" call PUT "$PLATFORM/vms/$1" "{\"data_centre\":\"$2\",\"state\":\"live\"}" --quiet
}

# start_router DC PORT
start_router() {
	local vm="$1-vm-router"
	add_vm "$vm" "$1"
	write_router "$WORK/$NAME-router-$1.json" "$vm" "$1" "$2"
	run "$NAME-router-$1" "$BIN/camphor-router" --config "$WORK/$NAME-router-$1.json"
}

# start_server SERVER VM DC PORT MODELS ADAPTERS: a model engine and its side
# process; a plain service if no models are named.
start_server() {
	local engine=(--listen "127.0.0.1:$4" --token-time 2ms) service=false
	if [[ -z $5 ]]; then
		engine+=(--service)
		service=true
	else
		engine+=(--models "$5")
		[[ -z $6 ]] || engine+=(--adapters "$6")
		[[ $CHECKS_FENCES == false ]] || engine+=(--check-fences)
	fi
	add_vm "$2" "$3"
	run "$NAME-engine-$1" "$BIN/standin-engine" "${engine[@]}"
	write_side "$WORK/$NAME-side-$1.json" "$2" "$3" "$1" "$(($4 + 1))" "$service"
	run "$NAME-side-$1" "$BIN/camphor-side" --config "$WORK/$NAME-side-$1.json"
}

# start_platform PORT
start_platform() {
	PLATFORM="http://127.0.0.1:$1"
	run "$NAME-platform" "$BIN/standin-platform" --listen "127.0.0.1:$1"
	await "$PLATFORM/stats"
}
