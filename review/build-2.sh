#!/bin/sh
# Builds the stand-in of the second review, which consists of test files, into target/. Run it from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/standin-2 ./review/_standin-2
