#!/usr/bin/env bash
# A machine is added, and a wave for it is declared right after that.
cd "$(dirname "$0")" && exec node case.mjs
