#!/bin/sh
# A failure answer of one engine is appended to another engine's stream (91 s).
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/amvnode ] && [ -x target/review/bed ] || exit 2
exec target/review/bed appended review/2/record.txt
