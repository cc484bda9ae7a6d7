#!/usr/bin/env bash
# Builds the cases with the compiler alone: no dependency, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
  number="$(basename "$(dirname "$case")")"
  rustc --edition 2021 -O --crate-name "case_$number" -o "target/review/case-$number" "$case"
done
