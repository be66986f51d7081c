#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exit codes: see case.py.
cd "$(dirname "$0")/../.." && exec python3 -m review.10.case
