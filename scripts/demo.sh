#!/usr/bin/env bash
# Runs both sample deployments on loopback, with fewer processes than the
# samples name: sends requests, shows answers and the ledger, and stops.
#   demo.sh        all of it
#   demo.sh up     leaves the fleets running and prints calls to try
#   demo.sh down   stops what "up" left running
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

readonly ROOT=$PWD BIN=$PWD/bin SHARDS=4 TOP_UP=400000
MODE=${1:-all}
WORK=$ROOT/tmp/demo
UNCLEAN=0
RAN=0
UNFINISHED=0
BILLED=0
OVERSPEND=0
HELD=0

# cleanup ends whatever still runs; a second interrupt does not stop it.
cleanup() {
	local status=$?
	trap '' INT TERM
	trap - EXIT
	if ((${#PIDS[@]} > 0)); then
		echo "demo: stopping ${#PIDS[@]} processes" >&2
		stop "*-router-*"
		stop "*-side-*"
		stop "*"
	fi
	exit "$status"
}

# secret: prints a random key.
secret() {
	od -An -N24 -tx1 /dev/urandom | tr -d ' \n'
}

# hash_of KEY: the hash of a key as settings hold it.
hash_of() {
	printf %s "$1" | sha256sum | cut -d' ' -f1
}

# ctl ARGS...: camphorctl at the routers of the present fleet.
ctl() {
	CAMPHOR_ADMIN=$ADMIN CAMPHOR_KEY=$OPERATOR_KEY "$BIN/camphorctl" "$@"
}

# router_ports OFFSET: base URLs of the three routers' listeners.
router_urls() {
	local i urls=()
	for i in 0 1 2; do
		urls+=("http://127.0.0.1:$((BASE + 10 + 10 * i + $1))")
	done
	(IFS=,; echo "${urls[*]}")
}

# prepare NAME BASE CHECKS_FENCES: variables of one fleet.
prepare() {
	NAME=$1
	BASE=$2
	CHECKS_FENCES=$3
	FLEET_KEY=$(secret)
	OPERATOR_KEY=$(secret)
	OPERATOR_HASH=$(hash_of "$OPERATOR_KEY")
	ROUTERS=$(router_urls 0)
	ADMIN=$(router_urls 2)
	SECRETS=
}

# start_fleet DC DC DC SERVERS...: each server as NAME:VM:DC:MODELS:ADAPTERS,
# lists with +.
start_fleet() {
	local i=0 dc server id vm place models adapters
	start_platform "$BASE"
	for dc in "$1" "$2" "$3"; do
		start_router "$dc" "$((BASE + 10 + 10 * i))"
		i=$((i + 1))
	done
	shift 3
	i=0
	for server in "$@"; do
		IFS=: read -r id vm place models adapters <<<"$server"
		start_server "$id" "$vm" "$place" "$((BASE + 50 + 3 * i))" "${models//+/,}" "${adapters//+/,}"
		i=$((i + 1))
	done
	for ((i = 0; i < 3; i++)); do
		await "http://127.0.0.1:$((BASE + 10 + 10 * i + 2))/readyz"
	done
	alive
}

# configure TEAMS ACCOUNTS...: applies the sample, tops the teams up and makes
# a key for each TEAM/ACCOUNT.
configure() {
	local pair key
	echo "$NAME: settings"
	ctl settings apply "samples/$NAME/settings.json" | sed 's/^/  /' >"$WORK/$NAME-apply.txt"
	tail -n 3 "$WORK/$NAME-apply.txt"
	for pair in "$@"; do
		ctl topup "${pair%/*}" "$TOP_UP" --id "demo-$pair" >/dev/null
		key=$(ctl --output json key create "${pair%/*}" "${pair#*/}" | sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
		if [[ -z $key ]]; then
			echo "demo: no key for $pair" >&2
			return 1
		fi
		SECRETS+="${SECRETS:+,}$key"
	done
}

# committee TEAM OTHER: the operator becomes the steward, and a committee
# member may change one team's subtree only.
committee() {
	local member_key member_hash answer
	member_key=$(secret)
	member_hash=$(hash_of "$member_key")
	ctl settings set operators/steward - >/dev/null <<-JSON
		{"name": "Steward", "key_hashes": ["$OPERATOR_HASH"], "subtrees": ["*"], "top_ups": ["*"]}
	JSON
	ctl settings set "operators/committee-$1" - >/dev/null <<-JSON
		{"name": "Committee of $1", "key_hashes": ["$member_hash"], "subtrees": ["teams/$1"], "top_ups": []}
	JSON
	echo "$NAME: the committee of $1 changes the team's weight, as a dry run"
	ctl --output json settings get "teams/$1" | sed -n '/"value": {/,$p' | sed '1s/.*/{/; $d' |
		sed 's/"weight": [0-9]*/"weight": 4/' >"$WORK/$NAME-change.json"
	OPERATOR_KEY=$member_key ctl settings diff "teams/$1" "$WORK/$NAME-change.json" | sed 's/^/  /'
	if answer=$(OPERATOR_KEY=$member_key ctl settings set "teams/$2" - <<<'{"name": "Ours now"}' 2>&1) ||
		[[ $answer != *forbidden* ]]; then
		echo "demo: the committee of $1 was not kept from teams/$2: $answer" >&2
		return 1
	fi
	echo "$NAME: and may not change teams/$2"
	echo "  $answer"
}

# send MODELS SERVICE: sends the sample's requests.
send() {
	local summary=$WORK/$NAME-summary.json
	echo "$NAME: requests"
	"$BIN/camphor-load" send --routers "$ROUTERS" --secrets "$SECRETS" --models "$1" --service "$2" \
		--prompts "samples/$NAME/prompts.json" --summary "$summary"
	RAN=$((RAN + $(number ran "$(cat "$summary")")))
	UNFINISHED=$((UNFINISHED + $(number unfinished "$(cat "$summary")")))
}

# show TEAM: what an operator sees.
show() {
	echo "$NAME: status"
	ctl status | sed 's/^/  /'
	echo "$NAME: ledger of $1"
	ctl ledger "$1" | sed 's/^/  /' | head -n 12
}

# number NAME TEXT: the number behind NAME= or "NAME": in the text.
number() {
	sed -n "s/.*\"\{0,1\}\b$1\"\{0,1\}[=:] *\([0-9]\{1,\}\).*/\1/p" <<<"$2" | tail -n 1
}

# finish: stops the fleet gracefully, and audits its ledger before the
# platform goes.
finish() {
	local audit
	stop "$NAME-router-*"
	stop "$NAME-side-*"
	echo "$NAME: ledger after the stop, folded from the log"
	audit=$("$BIN/camphor-load" audit --platform "$PLATFORM" --shards "$SHARDS")
	echo "$audit" | sed 's/^/  /'
	audit=$(tail -n 1 <<<"$audit")
	BILLED=$((BILLED + $(number billed "$audit")))
	OVERSPEND=$((OVERSPEND + $(number overspend "$audit")))
	HELD=$((HELD + $(number held "$audit")))
	stop "$NAME-*"
}

hollister_vance() {
	prepare hollister-vance "$1" true
	start_fleet waco temple killeen \
		waco-model-1:waco-vm-1:waco:plot-answers+reprint-notes:central-texas \
		temple-model-2:temple-vm-2:temple:plot-reader+plot-answers:central-texas \
		killeen-model-1:killeen-vm-1:killeen:plot-answers+reprint-notes:central-texas \
		waco-desk-1:waco-vm-desk-1:waco:: \
		temple-desk-1:temple-vm-desk-1:temple::
	configure plot-maps/reading-room genealogists/visitors
	committee county-sextons plot-maps
	[[ $MODE == up ]] || send plot-answers,plot-reader order-desk
	MODEL=plot-answers SERVICE=order-desk
}

asociacion() {
	prepare asociacion "$1" false
	start_fleet cartagena barranquilla santa-marta \
		cartagena-modelo-1:cartagena-vm-1:cartagena:inspeccion+quimica:boyas-caribe+boyas-pacifico \
		barranquilla-modelo-2:barranquilla-vm-2:barranquilla:historial+inspeccion:boyas-caribe+boyas-pacifico \
		santa-marta-modelo-1:santa-marta-vm-1:santa-marta:inspeccion+quimica:boyas-caribe+boyas-pacifico \
		cartagena-registros-1:cartagena-vm-registros-1:cartagena:: \
		barranquilla-registros-1:barranquilla-vm-registros-1:barranquilla::
	configure pilotos/tumaco talleres/barranquilla autoridades/caribe
	committee talleres pilotos
	[[ $MODE == up ]] || send inspeccion,quimica registros
	MODEL=inspeccion SERVICE=registros
}

# hints: calls to try on the present fleet.
hints() {
	cat <<-TEXT

		$NAME runs. Try:
		  curl -N ${ROUTERS%%,*}/v1/chat/completions -H 'Authorization: Bearer ${SECRETS%%,*}' \\
		    -d '{"model":"$MODEL","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Hello"}]}'
		  curl ${ROUTERS%%,*}/services/$SERVICE/orders -H 'Authorization: Bearer ${SECRETS%%,*}' \\
		    -H 'Idempotency-Key: order-1' -d '{"copies":2}'
		  export CAMPHOR_ADMIN=$ADMIN CAMPHOR_KEY=$OPERATOR_KEY
		  bin/camphorctl status
		  bin/camphorctl settings get fleet
		  curl -X POST $PLATFORM/faults -d '{"log":"down"}'   # and {"log":"up"}
	TEXT
}

# down: ends the processes that "up" has recorded, if they are still ours.
down() {
	local pid name deadline=$((SECONDS + STOP_SECONDS)) kind
	if [[ ! -f $WORK/pids ]]; then
		echo "demo: nothing is recorded as running"
		return
	fi
	for kind in -router- -side- -; do
		while read -r pid name; do
			if [[ $name == *$kind* ]] && ours "$pid"; then
				kill -TERM "$pid" 2>/dev/null || true
			fi
		done <"$WORK/pids"
		while read -r pid name; do
			[[ $name == *$kind* ]] || continue
			while ours "$pid" && ((SECONDS < deadline)); do sleep 0.05; done
			if ours "$pid"; then
				echo "demo: $name ($pid) has not stopped" >&2
				UNCLEAN=$((UNCLEAN + 1))
			fi
		done <"$WORK/pids"
	done
	((UNCLEAN == 0)) && rm "$WORK/pids"
}

# ours PID: the process runs one of our programs.
ours() {
	[[ $(readlink "/proc/$1/exe" 2>/dev/null) == "$BIN"/* ]]
}

main() {
	if [[ $MODE == down ]]; then
		down
		return
	fi
	if [[ -f $WORK/pids ]]; then
		while read -r pid _; do
			if ours "$pid"; then
				echo "demo: a demo is running already; make demo-down stops it" >&2
				return 1
			fi
		done <"$WORK/pids"
	fi
	rm -rf "$WORK"
	mkdir -p "$WORK"
	pick_ports $((2 * FLEET_PORTS))
	trap cleanup EXIT
	trap 'exit 130' INT
	trap 'exit 143' TERM
	hollister_vance "$BASE_PORT"
	if [[ $MODE == up ]]; then hints; else show plot-maps && finish; fi
	asociacion "$((BASE_PORT + FLEET_PORTS))"
	if [[ $MODE == up ]]; then
		hints
		trap - EXIT
		return
	fi
	show pilotos
	finish
	rm "$WORK/pids"
	((HELD == 0)) || echo "demo: $HELD tokens are still held in grants after the stop"
	((UNCLEAN == 0)) || echo "demo: $UNCLEAN processes did not stop gracefully"
	UNFINISHED=$((UNFINISHED + UNCLEAN))
	echo "demo: requests=$RAN billed=$BILLED overspend=$OVERSPEND unfinished=$UNFINISHED"
	((RAN > 0 && RAN == BILLED && OVERSPEND == 0 && UNFINISHED == 0 && HELD == 0))
}

main
