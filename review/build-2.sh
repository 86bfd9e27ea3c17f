#!/bin/sh
# Builds bin/review-2, which plays the cases 6 and 7: all stand-ins, the project's fake broker included, are linked into it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -tags review -o bin/review-2 ./review/standins-2
