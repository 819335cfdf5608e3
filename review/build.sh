#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the compiler alone, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/cases/src/main.rs -o target/review/cases
