#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own store, and the harness. Run it after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p standins
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
