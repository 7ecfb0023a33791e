"""Load patterns run against real hosts, with results for every second.

``python -m bench.experiments gray_pool --report gray.html`` starts hosts, a store and
upstreams as the soak test does, runs one pattern as an open-loop load and reports the
results that callers saw: as a table, and as a page with plots if matplotlib is
installed (extra ``plots``).
"""

import pathlib
import sys
import tempfile
import time
from typing import Callable, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

import eventlet  # noqa: E402

eventlet.monkey_patch(os=False)

import fire  # noqa: E402

from bench import experiment_reports  # noqa: E402
from soak import callers, environments, faults, hosts, runs  # noqa: E402

__all__ = ["PATTERNS", "Pattern", "main"]

WARM_UP_SECONDS = 4.0
TICK_SECONDS = 0.02
BASE_RATE = 60.0
BURST_FACTOR = 4.0
HOT_ACCOUNT_FACTOR = 5.0
FAULTY_SHARE = 0.3
FAULT_SECONDS = 4.0
FAULT_AFTER_SECONDS = 4.0
DRAIN_SECONDS = 2.0


class Pattern(NamedTuple):
    """Load and fault of one experiment.

    Attributes
    ----------
    summary : str
    rate : callable
        ``rate(elapsed)`` returns the requests a second of the unlimited account.
    hot_account_factor : float
        Requests a second of the limited account, as a multiple of its rate limit.
    inject_fault : callable
        Called with the run once, ``FAULT_AFTER_SECONDS`` after the start.
    """

    summary: str
    rate: Callable
    hot_account_factor: float
    inject_fault: Callable


def steady_rate(elapsed):
    return BASE_RATE


def burst_rate(elapsed):
    is_burst = FAULT_AFTER_SECONDS <= elapsed < FAULT_AFTER_SECONDS + FAULT_SECONDS
    return BASE_RATE * BURST_FACTOR if is_burst else BASE_RATE


def inject_nothing(run):
    """Inject no fault."""


def fail_some_upstreams(run):
    """Let a share of the upstreams fail their requests for ``FAULT_SECONDS``."""
    count = round(len(run.environment.upstreams) * FAULTY_SHARE)
    faulty_upstreams = run.rng.sample(run.environment.upstreams, count)
    for upstream in faulty_upstreams:
        upstream.fake.mode = "error"
    eventlet.sleep(FAULT_SECONDS)
    for upstream in faulty_upstreams:
        upstream.fake.mode = ""


def shed_on_all_upstreams(run):
    """Let every upstream shed its requests for ``FAULT_SECONDS``."""
    for upstream in run.environment.upstreams:
        upstream.fake.mode = "shed"
    eventlet.sleep(FAULT_SECONDS)
    for upstream in run.environment.upstreams:
        upstream.fake.mode = ""


PATTERNS = {
    "burst": Pattern("four times the load for 4 s", burst_rate, 0.0, inject_nothing),
    "hot_account": Pattern(
        "one account at five times its rate",
        steady_rate,
        HOT_ACCOUNT_FACTOR,
        inject_nothing,
    ),
    "gray_pool": Pattern(
        "three in ten upstreams fail for 4 s", steady_rate, 0.0, fail_some_upstreams
    ),
    "shed_storm": Pattern(
        "every upstream refuses for 4 s", steady_rate, 0.0, shed_on_all_upstreams
    ),
    "mass_kill": Pattern(
        "all hosts are killed at once", steady_rate, 0.0, faults.kill_all
    ),
}


class LoadGenerator:
    """Open-loop load: a pool of idle callers, and the number of requests sent."""

    def __init__(self, run):
        self.run = run
        self.idle_callers: list[callers.Caller] = []
        self.caller_count = 0
        self.request_count = 0

    def take_caller(self):
        """Return an idle caller, or a new one if there is none."""
        if self.idle_callers:
            return self.idle_callers.pop(0)
        self.caller_count += 1
        zone = environments.ZONES[self.caller_count % len(environments.ZONES)]
        ports = hosts.Ports(*self.run.ports)
        name = f"caller{self.caller_count}"
        return callers.Caller(name, zone, self.run.hosts, ports, self.run.rng)

    def send(self, account):
        """Send one request in its own task."""
        self.request_count += 1
        eventlet.spawn(
            self.run_request, self.take_caller(), account, f"r{self.request_count}"
        )

    def run_request(self, caller, account, request_id):
        prefix = caller.rng.choice(tuple(callers.METHOD_BY_PREFIX))
        address = caller.pick_address()
        if address is not None:
            self.run.records.append(
                callers.send_request(
                    caller,
                    address,
                    account,
                    prefix,
                    request_id,
                    environments.expected_body,
                )
            )
        self.idle_callers.append(caller)


def drive(run, pattern, seconds):
    """Send requests at the pattern's rate for some seconds; return the start time."""
    generator = LoadGenerator(run)
    unlimited, limited = run.environment.accounts[:2]
    started_at = time.monotonic()
    due_requests = due_hot_requests = 0.0
    fault_task = eventlet.spawn_after(FAULT_AFTER_SECONDS, pattern.inject_fault, run)
    last_tick_at = started_at
    while time.monotonic() - started_at < seconds:
        now = time.monotonic()
        due_requests += pattern.rate(now - started_at) * (now - last_tick_at)
        due_hot_requests += (
            pattern.hot_account_factor * limited.rate * (now - last_tick_at)
        )
        last_tick_at = now
        while due_requests >= 1.0:
            due_requests -= 1.0
            generator.send(unlimited)
        while due_hot_requests >= 1.0:
            due_hot_requests -= 1.0
            generator.send(limited)
        eventlet.sleep(TICK_SECONDS)
    fault_task.wait()
    eventlet.sleep(DRAIN_SECONDS)
    return started_at


def run_experiment(name, seconds=14.0, host_count=6, seed=1, report=None):
    """Run a pattern and report the results.

    Parameters
    ----------
    name : str
        One of ``PATTERNS``.
    seconds : float
    host_count : int
    seed : int
    report : str, optional
        Path of the HTML page to write.
    """
    if name not in PATTERNS:
        sys.exit(f"unknown pattern {name!r}; available: {', '.join(PATTERNS)}")
    pattern = PATTERNS[name]
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"experiment-{name}-"))
    run = runs.create_run(int(seed), int(host_count), directory, with_callers=False)
    try:
        eventlet.sleep(WARM_UP_SECONDS)
        started_at = drive(run, pattern, float(seconds))
    finally:
        hosts.stop_all(run.hosts)
    rows = experiment_reports.summarize(run.records, started_at)
    print(experiment_reports.format_table(pattern.summary, rows))
    if report is not None:
        experiment_reports.write_page(report, name, pattern.summary, rows)


def main():
    """Run the experiment that the command line names."""
    fire.Fire(run_experiment)


if __name__ == "__main__":
    main()
