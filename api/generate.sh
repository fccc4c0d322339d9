#!/usr/bin/env bash
# Regenerates the protobuf code. Needs protoc; the plugins are pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
GOBIN=$plugins go install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH=$plugins:$PATH protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative api/*/v1/*.proto
