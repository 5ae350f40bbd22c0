#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/review ] || [ ! -x target/bin/fulmarhoistd ]; then
	echo "run the build of the deploy file and review/build.sh first"
	exit 2
fi
exec review/bin/review leaving-servers "review/4/record.txt"
