#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p standins --bin corianderwharf-lines-standin
