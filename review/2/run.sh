#!/usr/bin/env bash
# Runs the case two-runs on the programs that the deploy file builds. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/turmericdrum ] || [ ! -x target/review-standin ]; then
	echo "build the deploy file's program and run review/build.sh first" >&2
	exit 2
fi
exec target/review-standin case two-runs review/2/record.txt
