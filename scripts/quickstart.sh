#!/usr/bin/env bash
# Starts the platform fake, the upstreams fake and three entry daemons on loopback, publishes the table, sends searches and calls,
# prints the answers and stops all processes. Needs the binaries in ./bin (make build). The exit code is 0 if all steps worked.
set -u
cd "$(dirname "$0")/.."
directory=$(mktemp -d "${TMPDIR:-/tmp}/comfreyroute-quickstart.XXXXXX") || exit 1
platform=127.0.0.1:18400
pids=()

stop() {
	local p
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
	pids=()
}
trap 'stop; rm -rf "$directory"' EXIT

fail() {
	printf 'quickstart: %s failed\n' "$1" >&2
	for log in "$directory"/*.log; do
		printf -- '--- end of %s\n' "${log##*/}" >&2
		tail -n 5 "$log" >&2
	done
	exit 1
}

start() {
	local name=$1
	shift
	"$@" >"$directory/$name.log" 2>&1 &
	pids+=($!)
}

# The ports are fixed. If another process listened on one of them, a step would connect to that process, so check them first.
for port in 18400 18411 18412 18413 18421 18422 18423; do
	if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
		printf 'quickstart: port %s is in use\n' "$port" >&2
		exit 1
	fi
done

start platform bin/keystore -address "$platform"
bin/entry wait -address "$platform" -path /v1/calls || fail 'starting the platform'
start upstreams bin/upstreams -deployment deployments/quickstart.ini -publish "$platform" -list "$platform"
bin/entry announce -platform "$platform" -vms entry1=127.0.0.1:18421@d1,entry2=127.0.0.1:18422@d2,entry3=127.0.0.1:18423@d3 \
	|| fail 'publishing the VM list'

for n in 1 2 3; do
	cat >"$directory/entry$n.ini" <<INI
[vm]
id = entry$n
domain = d$n
callers = 127.0.0.1:1841$n
peers = 127.0.0.1:1842$n
[platform]
address = $platform
[shutdown]
wait = 100ms
limit = 10s
INI
	bin/entry check -settings "$directory/entry$n.ini" >/dev/null || fail "checking the settings of entry$n"
	start "entry$n" bin/entry run -settings "$directory/entry$n.ini"
done
for n in 1 2 3; do
	bin/entry wait -address "127.0.0.1:1841$n" || fail "starting entry$n"
done

for n in 1 2 3; do
	bin/entry search -address "127.0.0.1:1841$n" -service catalog -query "quiet corner $n" || fail "searching at entry$n"
done
bin/entry call -address 127.0.0.1:18411 -service orders -body '{"slot":"friday 16:00","family":"quickstart"}' -repeat 127.0.0.1:18412 \
	|| fail 'the call with a key'
bin/entry call -address 127.0.0.1:18413 -service orders -body '{"slot":"friday 17:00","family":"quickstart"}' -ticket 127.0.0.1:18411 \
	|| fail 'the call with a ticket'

stop
printf 'quickstart: all steps worked\n'
