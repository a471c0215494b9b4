#!/usr/bin/env bash
# A failover call that is held up on a cut link and arrives after another member was promoted.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build with the deploy file and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness late-call review/2/record.txt
