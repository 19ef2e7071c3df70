#!/bin/sh
# The stand-ins of the cases are plain modules that Node runs as they are: there is nothing to compile.
# This only checks that Node can read them.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-3]/*.mjs tried/*/*.mjs; do
  node --check "$file" || exit 1
done
