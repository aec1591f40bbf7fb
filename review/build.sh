#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review; needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../../target/review/standin .
