#!/bin/sh
# Builds the stand-ins and the clients of the scripts. The gateway is built by the deploy file.
cd "$(dirname "$0")/kit" || exit 2
mkdir -p ../../target || exit 2
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 exec go build -o ../../target/reviewkit .
