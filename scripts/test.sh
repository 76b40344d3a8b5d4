#!/usr/bin/env bash
# Runs the tests with the race detector. Failures that KNOWN-RED.txt lists are
# passed over and printed; everything else fails.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
mkdir -p tmp
"$go" build -o tmp/knownred ./scripts/knownred
{
	status=0
	"$go" test -race -timeout 8m -json "${@:-./...}" 2>&1 || status=$?
	echo "go-test-exit $status"
} | tmp/knownred
