#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] && [ -x target/release/azureway-platform ] || exit 2
exec target/review-3/stand poison review/14
