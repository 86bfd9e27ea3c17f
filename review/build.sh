#!/bin/sh
# Builds every stand-in that a script of this folder starts. It needs no network. The build tag keeps the stand-ins out of CI and of
# the default test run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOPROXY=off CGO_ENABLED=0 go build -tags review -o review/bin/ ./review/cases/...
