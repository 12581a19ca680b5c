#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -buildvcs=false -tags review -o target/review3/harness3 ./review/harness3
