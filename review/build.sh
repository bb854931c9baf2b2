#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js, which need no bundling. This checks that Node.js can read all of them.
cd "$(dirname "$0")" || exit 1
for file in standin/*.mjs [1-5]/*.mjs; do node --check "$file" || exit 1; done
