#!/usr/bin/env bash
# Checks the format of all Go files and runs the pinned linter in each of the given modules.
#
# The linter is installed by version instead of through the tools module: adding it there makes go load the complete module
# graph, and one of its old indirect requirements is not offered by the module proxy.
set -u
cd "$(dirname "$0")/.."
version=v2.12.2
status=0
unformatted=$(gofmt -l "$@")
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
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
