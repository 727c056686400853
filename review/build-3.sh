#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standin review/standin-3/main.rs
