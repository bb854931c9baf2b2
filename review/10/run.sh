#!/bin/bash
cd "$(dirname "$0")/../.." && exec node review/10/case.mjs
