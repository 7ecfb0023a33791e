#!/usr/bin/env bash
# Exits with 1 if a client got a success with a part of its endpoint's body, 0 if none did, 2 if it could not run.
# Writes record.txt beside it.
exec python3 "$(dirname "$0")/case.py"
