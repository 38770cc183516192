#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
