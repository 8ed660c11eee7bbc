#!/usr/bin/env bash
# Checks the format of the Go files of the given modules and runs the pinned version of golangci-lint in each.
# Usage: scripts/lint.sh MODULE ...
#
# The linter is installed by version and is not a tool of the tools module. As a tool it would make go load its complete module
# graph, which includes an old indirect requirement that the module proxy does not serve.
set -u
cd "$(dirname "$0")/.."
version=v2.12.2
status=0
unformatted=$(gofmt -l "$@")
if [ -n "$unformatted" ]; then
	printf 'files not formatted by gofmt:\n%s\n' "$unformatted"
	status=1
fi
directory=${TMPDIR:-/tmp}/comfreyroute-lint-$(id -u)-$version
if [ ! -x "$directory/golangci-lint" ]; then
	GOWORK=off GOFLAGS='' GOBIN="$directory" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version" || exit 1
fi
for module in "$@"; do
	[ -n "$(find "$module" -name '*.go' -print -quit)" ] || continue
	(cd "$module" && "$directory/golangci-lint" run --allow-parallel-runners --config ../.golangci.yml ./...) || status=1
done
exit $status
