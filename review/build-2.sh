#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, without any library, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand2 review/stand2/main.rs
