#!/bin/bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3 ./review/_standin3
