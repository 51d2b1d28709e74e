#!/usr/bin/env bash
# Plays case 10. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] && [ -x target/pimentoheadd ] || { echo "build first: the build of the deploy file, then review/build-2.sh"; exit 2; }
exec timeout -k 5 110 target/review2 -case 10 -daemon target/pimentoheadd -record review/10/record.txt
