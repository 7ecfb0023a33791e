"""Benchmarks, each a program that prints JSON lines, and the demonstration."""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
