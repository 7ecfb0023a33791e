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
        Numbers, ``first-last``, or ``failed`` for those in ``seeds.txt``, which have
        their own seconds and hosts.
    seconds : float
        Time during which faults are injected.
    hosts : int
        Number of host processes.
    copies : float
        Share of requests that upstreams refuse, and that come behind copied refusals.
    """
    failed = 0
    for seed, seed_seconds, seed_hosts in parse_seeds(seeds, seconds, hosts):
        result = runs.run_seed(
            int(seed), float(seed_seconds), int(seed_hosts), float(copies)
        )
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


def parse_seeds(text, seconds, hosts):
    """Return seed, seconds and hosts of each run that the argument ``seeds`` names."""
    if text == "failed":
        lines = (pathlib.Path(__file__).parent / "seeds.txt").read_text().splitlines()
        return [line.split("|")[:3] for line in lines if not line.startswith("#")]
    first, dash, last = str(text).partition("-")
    if dash:
        numbers = range(int(first), int(last) + 1)
    elif isinstance(text, (tuple, list)):
        numbers = text
    else:
        numbers = str(text).split(",")
    return [(int(number), seconds, hosts) for number in numbers]


def main():
    """Run the command line; SIGTERM ends the hosts too."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    fire.Fire(soak)


if __name__ == "__main__":
    main()
