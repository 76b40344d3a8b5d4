#!/bin/bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
RUN="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)"
export RUN
[ -x target/review/standin2 ] && [ -x "${RUN%% *}" ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/review/standin2 endless review/10/record.txt
