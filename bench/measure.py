"""Runs the named benchmarks, or all of them, each in its own process.

Without a name, the latency benchmark runs first, with nothing beside it. Then the
benchmarks that time processes run one after another, while the others run in parallel
on a few workers.
"""

import pathlib
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

OTHER_MODULES = {
    "__init__",
    "demo",
    "experiment_reports",
    "experiments",
    "measure",
    "processes",
    "results",
    "write_histories",
}
EXCLUSIVE_MEASURES = ("added_latency",)
SEQUENTIAL_MEASURES = (
    "control_cost",
    "rolling_restart",
    "writes_in_processes",
    "reconnect_peak",
    "request_cost",
)
WORKERS = 4
TIMEOUT_SECONDS = 300


def measure_names():
    """Return the names of all benchmarks."""
    folder = pathlib.Path(__file__).parent
    names = {path.stem for path in folder.glob("*.py")}
    return sorted(names - OTHER_MODULES)


def run_measure(name):
    """Run one benchmark; return its name if it failed, else None."""
    command = [sys.executable, "-m", f"bench.{name}"]
    try:
        exit_status = subprocess.run(command, timeout=TIMEOUT_SECONDS).returncode
    except subprocess.TimeoutExpired:
        exit_status = 1
    return name if exit_status else None


def run_sequentially(names):
    """Run benchmarks one after another; return the names of those that failed."""
    return [name for name in map(run_measure, names) if name is not None]


def run_all():
    """Run every benchmark; return the names of those that failed."""
    failed = run_sequentially(EXCLUSIVE_MEASURES)
    others = [
        name
        for name in measure_names()
        if name not in EXCLUSIVE_MEASURES + SEQUENTIAL_MEASURES
    ]
    with ThreadPoolExecutor(WORKERS) as executor:
        sequential = executor.submit(run_sequentially, SEQUENTIAL_MEASURES)
        failed += [
            name for name in executor.map(run_measure, others) if name is not None
        ]
        return failed + sequential.result()


def main():
    """Run the benchmarks named on the command line, or all; exit 1 if any failed."""
    names = sys.argv[1:]
    unknown = set(names) - set(measure_names())
    if unknown:
        print(
            f"unknown measure {min(unknown)!r}; available: {', '.join(measure_names())}"
        )
        sys.exit(2)
    failed = run_sequentially(names) if names else run_all()
    if failed:
        print(f"measures failed or out of bounds: {', '.join(failed)}", file=sys.stderr)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
