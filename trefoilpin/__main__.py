"""Entry point of the command ``trefoilpin``."""

import os
import sys
import warnings

# All addresses are IP addresses, so eventlet's resolver would waste 7 MB of memory.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
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
