#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which need Python alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins_3.py
