#!/bin/sh
# Builds what the scripts of the third review start, beside the program of the deploy file: the
# client, the platform and the workers, which are the project's own stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/stand3 ./review/stand3
