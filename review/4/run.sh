#!/bin/sh
# Plays the case; TROUBLE=0 leaves the freeze out. 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gateway ] && [ -x target/review2-rig ] || { echo "build by deploy/system.toml and review/build-2.sh first"; exit 2; }
exec target/review2-rig late-finish review/4 target/gateway
