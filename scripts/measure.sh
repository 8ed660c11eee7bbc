#!/usr/bin/env bash
# Runs experiments one after the other and writes their results to out/. The host should be idle otherwise. All experiments take
# about 12 minutes. Usage: scripts/measure.sh [NAME ...]; NAME is a file in experiments/ without .ini; the default is all of them.
set -u
cd "$(dirname "$0")/.."
make build || exit 1
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
	for f in experiments/*.ini; do names+=("$(basename "$f" .ini)"); done
fi
status=0
for name in "${names[@]}"; do
	printf '%s: load average before the run: %s\n' "$name" "$(cut -d' ' -f1 /proc/loadavg)"
	bin/bench experiment -out out "experiments/$name.ini" >"out/$name.log" 2>&1 || { status=1; tail -n 3 "out/$name.log"; }
	sed -n '/^| run/,/^$/p' "out/$name/table.md" 2>/dev/null
done
exit $status
