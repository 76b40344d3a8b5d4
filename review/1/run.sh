#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1}
. "$(dirname "$0")/../run-case.sh" withheld 1
