#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/stand ] && [ -x target/release/azureway-platform ] || exit 2
exec target/review/stand wall "$folder"
