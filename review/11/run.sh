#!/bin/sh
# An order that is carried out late by the next life of its runner; see claim.txt.
cd "$(dirname "$0")" && exec python3 play.py
