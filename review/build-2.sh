#!/usr/bin/env bash
# Builds the stand-ins and the player of the scripted cases of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2 ./review/harness2
