#!/usr/bin/env bash
# Runs this case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/camphorspring target/review/cases; do
    [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
exec target/review/cases rolling-stop review/5/record.txt
