#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs only the Rust compiler, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
