#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs the Rust compiler only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world review/stand_in_2/main.rs
