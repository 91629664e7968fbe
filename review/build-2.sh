#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, to be run after the build of the deploy
# file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig2"
go build -buildvcs=false -o ../../target/review-2/rig .
