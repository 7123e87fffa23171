#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
for program in target/release/fescuewell target/review/harness; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/harness late-return "$folder/record.txt"
