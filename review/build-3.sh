#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off go build -C review/standin-3 -o "$PWD/target/review-3/bed" .
