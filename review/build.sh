#!/bin/sh
# Builds the stand-ins that the cases start. They are Python modules of the standard
# library only, in common/, so that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q common [1-5]
