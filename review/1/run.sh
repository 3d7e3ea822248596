#!/bin/sh
# A front gets SIGTERM and, one second later, SIGHUP. Exit code: 1 broken, 0 held, 2 could not run.
# TROUBLE=0 plays the same without the SIGHUP, and must hold.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kumquatlug ] && [ -x target/review-standin ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec target/review-standin stop review/1/record.txt
