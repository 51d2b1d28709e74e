#!/usr/bin/env bash
# Builds the program that runs the scripts of the cases. It contains all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
