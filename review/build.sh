#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/harness ./review/harness/*.go
