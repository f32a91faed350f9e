#!/bin/sh
# Builds the stand-ins that the scripts of all cases start. Needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/1/standin/main.rs
