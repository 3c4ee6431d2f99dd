#!/usr/bin/env bash
# Plays the case; record.txt is written beside this file, or in the folder that OUT names. TROUBLE=0 leaves the
# disruption out. The build of the deploy file and review/build.sh come first.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-stand ] || exit 2
exec target/review-stand leaving "${OUT:-$here}"
