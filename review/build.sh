#!/usr/bin/env bash
# The stand-ins and the cases are plain modules for Node 20: nothing is
# compiled, their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs trials/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
