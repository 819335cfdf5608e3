#!/bin/sh
# Builds the stand-ins and the scripts of the cases 11 to 15, after the build of the deploy file. Needs no network beyond what that
# build needs: it uses three libraries of the product, in the versions of its lock file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/cases-3/Cargo.toml --target-dir target/review-3
