#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2021 -O -o "target/review-2/case-$(basename "$case")" "$case/case.rs"
done
