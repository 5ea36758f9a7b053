#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, beside the programs that the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/second/platform
