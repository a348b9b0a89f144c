#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the deploy file's programs. The stand-ins are scripts of Node.js
# without dependencies, so there is nothing to compile: this checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
