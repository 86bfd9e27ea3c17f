#!/bin/sh
# gofmt, vet, build and tests; needs Go and nothing else.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal policy)
[ -z "$unformatted" ] || { echo "gofmt: $unformatted" >&2; exit 1; }
go vet ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test -count=1 -timeout 120s ./...
