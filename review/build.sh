#!/usr/bin/env bash
# Builds the stand-ins of all scripts under review/: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/stand_in/main.rs
