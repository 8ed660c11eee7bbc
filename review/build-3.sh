#!/usr/bin/env bash
# Builds the stand-ins of the third review (review/kit-3) into target/, beside the programs of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/kit-3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/kit3 .
