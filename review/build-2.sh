#!/bin/sh
# Builds the stand-ins that the scripts of this review start, from the standard library alone.
set -e
cd "$(dirname "$0")/bed"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/bed .
