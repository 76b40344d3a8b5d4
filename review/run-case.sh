# Runs a case of review/_standin: . run-case.sh CASE N. Whatever ends the case, also a signal,
# no router that it started is left. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
record=review/$2/record.txt

end_routers() {
	[ -f "$record" ] || return
	for pid in $(sed -n 's/.* started, pid \([0-9]*\)$/\1/p' "$record"); do
		# The guard keeps a later process that got the same id.
		if grep -qs '^target/camphor-entry' "/proc/$pid/cmdline"; then
			kill -KILL "$pid" 2>/dev/null
		fi
	done
}

rm -f "$record"
trap end_routers EXIT
review/bin/standin "$1" "review/$2" "${TROUBLE:-1}" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' INT TERM HUP
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do # a signal ended the wait
	wait "$child"
	status=$?
done
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
