#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 into target/review3/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review3/cases3 ./review/cases3
