#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The daemon itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/rig
