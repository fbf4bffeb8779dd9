#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/4 to review/8 start. The project's own program is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand-2 ./review/stand2
