#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs only the compiler, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in review/6/stand-in/main.rs
