#!/usr/bin/env bash
# Bundles the cases of the third review with their stand-ins; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 11 12 13 14 15; do
  [ -f "review/$number/case.ts" ] || continue
  node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node --format=esm --target=node20 --outfile="target/review-3/$number.mjs" --log-level=warning
done
