"""Runs one measure, or all of them, each as a process of its own.

Without a name, the latency runs first and alone; then the measures that time processes
run one after the other, beside the others in a few lanes.
"""

import pathlib
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

NOT_MEASURES = {
    "__init__",
    "demo",
    "experiment_reports",
    "experiments",
    "measure",
    "processes",
    "results",
    "write_histories",
}
ALONE = ("added_latency",)
TIMED = (
    "control_cost",
    "rolling_restart",
    "writes_in_processes",
    "reconnect_peak",
    "request_cost",
)
LANES = 4
LIMIT_SECONDS = 300


def measures():
    """Return the names of all measures."""
    folder = pathlib.Path(__file__).parent
    names = {path.stem for path in folder.glob("*.py")}
    return sorted(names - NOT_MEASURES)


def run(name):
    """Run one measure; return its name if it failed, else None."""
    command = [sys.executable, "-m", f"bench.{name}"]
    try:
        code = subprocess.run(command, timeout=LIMIT_SECONDS).returncode
    except subprocess.TimeoutExpired:
        code = 1
    return name if code else None


def run_in_turn(names):
    """Run measures one after the other; return the names of those that failed."""
    return [name for name in map(run, names) if name is not None]


def run_all():
    """Run every measure; return the names of those that failed."""
    failed = run_in_turn(ALONE)
    others = [name for name in measures() if name not in ALONE + TIMED]
    with ThreadPoolExecutor(LANES) as lanes:
        timed = lanes.submit(run_in_turn, TIMED)
        failed += [name for name in lanes.map(run, others) if name is not None]
        return failed + timed.result()


def main():
    """Run the measures named on the command line, or all; exit 1 if one failed."""
    names = sys.argv[1:]
    unknown = set(names) - set(measures())
    if unknown:
        print(f"no measure {min(unknown)!r}; there are: {', '.join(measures())}")
        sys.exit(2)
    failed = run_in_turn(names) if names else run_all()
    if failed:
        print(f"bound missed or measure failed: {', '.join(failed)}", file=sys.stderr)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
