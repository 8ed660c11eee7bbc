#!/usr/bin/env bash
# Runs all experiments one after the other on an otherwise idle machine and collects their tables in out/. Takes about 12 minutes.
# Usage: scripts/measure.sh [NAME ...]; a name is that of a file in experiments/ without its ending.
set -u
cd "$(dirname "$0")/.."
make build || exit 1
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
	for f in experiments/*.ini; do names+=("$(basename "$f" .ini)"); done
fi
status=0
for name in "${names[@]}"; do
	printf '%s: load average before %s\n' "$name" "$(cut -d' ' -f1 /proc/loadavg)"
	bin/bench experiment -out out "experiments/$name.ini" >"out/$name.log" 2>&1 || { status=1; tail -n 3 "out/$name.log"; }
	sed -n '/^| run/,/^$/p' "out/$name/table.md" 2>/dev/null
done
exit $status
