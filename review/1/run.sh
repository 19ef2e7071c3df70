#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out. The play writes record.txt (../lib/play.mjs).
cd "$(dirname "$0")" || exit 2
exec node play.mjs
