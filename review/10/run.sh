#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/stand2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review/stand2 case forget "$folder"
