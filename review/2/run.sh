#!/bin/sh
# Users send large bodies in chunks, and the platform kills a process over its memory limit. Exit code: 1 broken,
# 0 held, 2 could not run.
# TROUBLE=0 plays the same with 21 users in place of 42, and must hold.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kumquatlug ] && [ -x target/review-standin ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec target/review-standin memory review/2/record.txt
