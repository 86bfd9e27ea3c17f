#!/bin/sh
# Builds every stand-in that a script of this folder starts. It needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off CGO_ENABLED=0 go build -o bin/ ./cases/...
