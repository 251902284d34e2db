#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
