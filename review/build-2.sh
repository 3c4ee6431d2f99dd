#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it from the repository's root, after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/bed2 ./review/bed2
