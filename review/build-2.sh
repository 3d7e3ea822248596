#!/bin/sh
# Builds the stand-ins of the second review into target/. Run it from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/_standin-2
