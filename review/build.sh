#!/bin/sh
# Builds the stand-in that the scripts start.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin ./review/_standin
