#!/bin/sh
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review/ ./review/...
