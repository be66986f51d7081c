#!/bin/sh
# A gang whose runners crash twice, under different tasks; see claim.txt.
cd "$(dirname "$0")" && exec python3 play.py
