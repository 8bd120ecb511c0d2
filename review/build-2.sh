#!/bin/sh
# Checks the cases and stand-ins of the second review; they are plain modules and need no other build.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
