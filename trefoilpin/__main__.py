"""Entry point of the command ``trefoilpin``."""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import fire  # noqa: E402

from trefoilpin import commands  # noqa: E402

__all__ = ["main"]


def main():
    """Run the command line."""
    fire.Fire(commands.COMMANDS, name="trefoilpin")


if __name__ == "__main__":
    main()
