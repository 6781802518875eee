#!/usr/bin/env bash
# A cancel that is answered while a submission's write is still on its way.
cd "$(dirname "$0")" && exec node case.mjs
