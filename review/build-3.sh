#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain scripts for Node 20, so there is
# nothing to compile; this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins_3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
