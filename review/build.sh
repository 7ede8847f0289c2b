#!/usr/bin/env bash
# Builds the cases and their stand-ins with the compiler alone: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O "$case" -o "target/review/case-$number"
done
