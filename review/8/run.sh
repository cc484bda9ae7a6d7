#!/bin/sh
# Plays case 8; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || { echo "could not run: review/build-2.sh has not been run"; exit 2; }
exec target/review-2/case-8 review/8/record.txt
