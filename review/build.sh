#!/usr/bin/env bash
# Builds the stand-ins of the scripts; needs the Rust compiler only, no library and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done
