#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/honeylock ] && [ -x target/cases-2 ] || { echo "build target/honeylock and run review/build-2.sh first" >&2; exit 2; }
exec target/cases-2 tiny review/5
