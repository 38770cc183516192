#!/bin/sh
# Starts the daemons with the program of the deploy file, and judges what consumers and endpoints saw.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/release/review-standins-3 same-id-cold target/deploy/pomelorun-edge "review/15/record.txt"
