#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
