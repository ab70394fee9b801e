#!/bin/sh
# The stand-ins are plain Node.js modules: nothing is compiled. Checks that each of them can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [123]/run.mjs; do
	if [ -e "$file" ]; then
		node --check "$file" || exit 1
	fi
done
