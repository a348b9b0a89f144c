#!/bin/sh
# Builds what the scripts of the cases start beside the deploy file's programs. The stand-ins are plain scripts of Node.js
# in review/lib, which need no build: this only checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
