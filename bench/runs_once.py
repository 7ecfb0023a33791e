"""Searches for requests that run twice: ``python -m bench.runs_once --seeds 1-20``."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Appended, so that ``import platform`` finds the module of the standard library.
sys.path.append(str(ROOT / "platform"))

import eventlet  # noqa: E402

eventlet.monkey_patch()

import drawn_upstreams  # noqa: E402
import fire  # noqa: E402
import once_trials  # noqa: E402

__all__ = ["main"]

SHOWN_VIOLATIONS = 10


def search(seeds="1-3", seconds=10.0, **shares):
    """Play seeds one after another; exit with 1 if a request ran twice.

    Parameters
    ----------
    seeds : str
        ``first-last``.
    seconds : float
        Length of a trial.
    shares : float
        Fields of ``drawn_upstreams.Faults`` to set.
    """
    first, _, last = str(seeds).partition("-")
    faults = drawn_upstreams.Faults()._replace(**shares)
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        result = once_trials.run_trial(seed, float(seconds), faults)
        broken += len(result.violations)
        print(
            f"seed {seed}: {result.requests} requests, {result.resent} sent again,"
            f" {result.copies} copies, {len(result.violations)} broken",
            flush=True,
        )
        for violation in result.violations[:SHOWN_VIOLATIONS]:
            print(f"  {violation}")
    sys.exit(1 if broken else 0)


def main():
    """Run from the command line."""
    fire.Fire(search)


if __name__ == "__main__":
    main()
