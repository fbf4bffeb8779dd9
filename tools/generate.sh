#!/usr/bin/env bash
# Generates the operators' RPC code from its schema into the given directory
# (default: api). tools/go.mod pins the versions of the generators.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$(cd "${1:-$root/api}" && pwd)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd "$root/tools" && go build -o "$bin/" github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
cd "$root/api"
PATH="$bin:$PATH" buf generate --output "$out" .
