#!/usr/bin/env bash
# Builds the stand-ins of the review; they need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings review/standin/main.rs -o target/review/standin
