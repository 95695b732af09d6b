#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run; TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness-3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/harness-3 limits review/15
