#!/bin/sh
# Builds the stand-ins that the scripted cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
