#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, into target/ beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
