#!/usr/bin/env bash
# Runs the case against the build of the deploy file. Writes record.txt in this folder.
# Exit status: 0 the rule held, 1 broken, 2 could not run.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
