#!/usr/bin/env bash
# A member that drains after another writer has once written an entry under its id.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build with the deploy file and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness foreign-entry review/4/record.txt
