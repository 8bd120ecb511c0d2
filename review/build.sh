#!/usr/bin/env bash
# The stand-ins are plain modules: this checks that each of them can be parsed. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
