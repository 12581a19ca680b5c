#!/bin/bash
# Builds the stand-ins of the cases of the second review; the build command of deploy/system.toml builds the programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review/harness2 ./review/harness2
