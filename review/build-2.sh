#!/bin/sh
# The stand-ins of the cases 4 to 8 are plain modules of review/lib-2, which need no compiler: this checks that they load.
set -eu
cd "$(dirname "$0")/.."
for module in review/lib-2/*.mjs; do
	node --check "$module"
done
