#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The project's own programs are built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/platform
