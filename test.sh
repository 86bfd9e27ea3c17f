#!/bin/sh
# gofmt, vet, staticcheck, revive, build and tests; needs Go, and a C compiler to link against the C library.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal policy)
[ -z "$unformatted" ] || { echo "gofmt: $unformatted" >&2; exit 1; }
go vet ./...
go tool staticcheck ./...                     # checks: staticcheck.conf; version: go.mod
go tool revive -config revive.toml ./...      # doc comments of exported names; version: go.mod
mkdir -p bin
export CGO_ENABLED=1
go build -ldflags=-linkmode=external -o bin/ ./cmd/... # as deploy/balancer.toml builds
ldd bin/thymechute | grep -q 'libc\.' || { echo "bin/thymechute: not linked against the C library" >&2; exit 1; }
go test -count=1 -timeout 120s -p 3 ./... # several packages start processes whose leases are real time
