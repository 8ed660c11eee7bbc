#!/bin/sh
# Plays the case "poison" against the gateway. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reviewkit ] || exit 2
exec target/reviewkit poison review/5
