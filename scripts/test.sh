#!/usr/bin/env bash
# Runs the tests with the race detector. Failures that KNOWN-RED.txt lists are
# passed over and printed; everything else fails. The tests of test/hostile
# measure the memory of processes, and run afterwards by themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
mkdir -p tmp
"$go" build -o tmp/knownred ./scripts/knownred
packages=("$@")
(($# > 0)) || mapfile -t packages < <("$go" list ./... | grep -v /test/hostile)
{
	status=0
	"$go" test -race -timeout 8m -json "${packages[@]}" 2>&1 || status=$?
	(($# > 0)) || "$go" test -timeout 8m -json ./test/hostile 2>&1 || status=$?
	echo "go-test-exit $status"
} | tmp/knownred
