#!/usr/bin/env bash
# Builds the stand-ins and the driver of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-driver ./review/driver
