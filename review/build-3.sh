#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code review/stand_in_3/drill.rs -o target/review-3/drill
rustc --edition 2024 -O -A dead_code review/stand_in_3/deadly.rs -o target/review-3/deadly
rustc --edition 2024 -O -A dead_code review/stand_in_3/cold.rs -o target/review-3/cold
