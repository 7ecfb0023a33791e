#!/usr/bin/env bash
# Exits with 1 if processes of two hosts or more ended three times for their memory, 0 if not, 2 if it could not run.
# Writes record.txt beside it.
exec python3 "$(dirname "$0")/case.py"
