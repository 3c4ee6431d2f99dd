#!/bin/sh
# The last key of the manifest is taken away, and requests run with any key or none (13 s).
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/amvnode ] && [ -x target/review/bed ] || exit 2
exec target/review/bed keys review/3/record.txt
