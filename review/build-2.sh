#!/bin/bash
# Builds the stand-ins of the cases from 6 on, into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin2 ./review/_standin2
