#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/small review/6 review/7 review/8 review/9 review/10
