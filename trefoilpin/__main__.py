"""Entry point of the command ``trefoilpin``."""

import sys
import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from trefoilpin import commands  # noqa: E402

__all__ = ["main"]


def main():
    """Run the command line."""
    commands.run(sys.argv[1:])


if __name__ == "__main__":
    main()
