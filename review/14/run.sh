#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Build first: the command of the deploy file, then review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/release/cases-3 crash-in-the-dark review/14
