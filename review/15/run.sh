#!/bin/sh
# Plays the case waiting. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/sassafrasvalve ] || [ ! -x target/review3/cases3 ]; then
	echo "run the build of the deploy file and review/build-3.sh first" >&2
	exit 2
fi
exec target/review3/cases3 -case waiting -record review/15/record.txt
