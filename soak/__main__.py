"""Play seeds: ``python -m soak --seeds 1,2,3 --seconds 20 --hosts 6``."""

import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The platform's stand-ins lie beside its adapter; the standard library goes first.
sys.path.append(str(ROOT / "platform"))

import eventlet  # noqa: E402

# Reads of the pipe by which a process is started must not go by way of the hub.
eventlet.monkey_patch(os=False)

import fire  # noqa: E402

from soak import runs  # noqa: E402

__all__ = ["main"]


def soak(seeds="1", seconds=20.0, hosts=6):
    """Play seeds one after another and end with 1 when a promise was broken.

    Parameters
    ----------
    seeds : str or int or tuple
        Numbers, ``first-last``, or ``failed`` for those in ``seeds.txt``.
    seconds : float
        Time in which faults strike.
    hosts : int
        Processes of the system.
    """
    failed = 0
    for seed in read_seeds(seeds):
        verdict = runs.play(seed, float(seconds), int(hosts))
        state = "broken" if verdict.broken else "kept"
        print(
            f"seed {seed}: {state}; {verdict.served} of {verdict.requests} served,"
            f" {len(verdict.struck)} faults, logs in {verdict.folder}",
            flush=True,
        )
        for sentence in verdict.broken[:20]:
            print(f"  {sentence}")
        if verdict.broken:
            print(f"  faults: {verdict.struck}", flush=True)
        failed += bool(verdict.broken)
    sys.exit(1 if failed else 0)


def read_seeds(text):
    """Return the seeds that an argument names."""
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
    """Read the command line and play; a signal ends the hosts too."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    fire.Fire(soak)


if __name__ == "__main__":
    main()
