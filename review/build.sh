#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start. The programs of the project are built by the
# deploy file's own command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
