#!/usr/bin/env bash
# Generates the Go code from schema/*.proto. Needs protoc (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go)
protoc --plugin="$bin/protoc-gen-go" -I schema --go_out=schema --go_opt=paths=source_relative schema/*.proto
