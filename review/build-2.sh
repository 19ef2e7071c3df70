#!/usr/bin/env bash
# Builds what the scripts of the second review start: the project's stand-ins. The router itself is built by
# the `build` command of the deploy file, which comes first and installs the packages.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p tsconfig.json
