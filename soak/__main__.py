"""Runs the soak: ``python -m soak --seeds 1,2,3 --seconds 20 --hosts 6``."""

import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# For the fakes beside the platform's adapter. Appended, so that ``import platform``
# finds the module of the standard library.
sys.path.append(str(ROOT / "platform"))

import eventlet  # noqa: E402

# Without ``os``: subprocess reads a pipe when it starts a process, and that read must
# not go through the hub.
eventlet.monkey_patch(os=False)

import fire  # noqa: E402

from soak import runs  # noqa: E402

__all__ = ["main"]


def soak(seeds="1", seconds=20.0, hosts=6, copies=0.0):
    """Run seeds one after another; exit with 1 if an invariant was violated.

    Parameters
    ----------
    seeds : str or int or tuple
        Numbers, ``first-last``, or ``failed`` for those in ``seeds.txt``.
    seconds : float
        Time during which faults are injected.
    hosts : int
        Number of host processes.
    copies : float
        Share of requests that upstreams refuse, and that come behind copied refusals.
    """
    failed = 0
    for seed in parse_seeds(seeds):
        result = runs.run_seed(seed, float(seconds), int(hosts), float(copies))
        state = "broken" if result.violations else "kept"
        print(
            f"seed {seed}: {state}; {result.served} of {result.requests} served,"
            f" {len(result.injected_faults)} faults, logs in {result.log_folder}",
            flush=True,
        )
        for violation in result.violations[:20]:
            print(f"  {violation}")
        if result.violations:
            print(f"  faults: {result.injected_faults}", flush=True)
        failed += bool(result.violations)
    sys.exit(1 if failed else 0)


def parse_seeds(text):
    """Return the seeds that the argument ``seeds`` names."""
    if text == "failed":
        lines = (pathlib.Path(__file__).parent / "seeds.txt").read_text().splitlines()
        return [int(line.split("|")[0]) for line in lines if not line.startswith("#")]
    if isinstance(text, int):
        return [text]
    if isinstance(text, (tuple, list)):
        return [int(part) for part in text]
    first, dash, last = str(text).partition("-")
    if dash:
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in str(text).split(",")]


def main():
    """Run the command line; SIGTERM ends the hosts too."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    fire.Fire(soak)


if __name__ == "__main__":
    main()
