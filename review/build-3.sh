#!/bin/sh
# Builds the stand-ins of the third review's scripts. They need Python 3.11 and its
# standard library only, so this compiles them, which shows that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common-3 11 12 13 14 15
