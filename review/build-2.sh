#!/bin/sh
# Builds the program that plays the scripts of the second review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/cases-2 review/cases-2/*.go
