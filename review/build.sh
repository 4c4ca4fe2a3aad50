#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node.js without dependencies, so nothing is compiled; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs further/*.mjs; do
	node --check "$file"
done
