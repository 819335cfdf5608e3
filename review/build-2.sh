#!/bin/sh
# Builds the programs that the scripts in review/6 to review/10 start beside the product: one program with the stand-ins of the
# store, the engines and the clients. It uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/cases-2/src/main.rs -o target/review-2/cases-2
