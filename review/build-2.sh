#!/bin/sh
# Builds the stand-ins and clients of the scripts review/6 to review/10. Needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case review/standin-2/main.rs
