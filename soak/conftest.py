"""Adds the platform's fakes to the import path, behind the standard library."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "platform"))
