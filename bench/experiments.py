"""Load patterns played against real hosts, reported second by second.

``python -m bench.experiments gray_pool --report gray.html`` starts hosts, a store and
upstreams as the soak does, plays one pattern with an open loop of requests and writes
what callers saw: a table, and a page with plots where matplotlib is installed (the
extra ``plots``).
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
STEP_SECONDS = 0.02
BASE_RATE = 60.0
BURST_FACTOR = 4.0
HOT_FACTOR = 5.0
GRAY_SHARE = 0.3
SPELL_SECONDS = 4.0
STRIKE_SECONDS = 4.0
CALM_DOWN_SECONDS = 2.0


class Pattern(NamedTuple):
    """What a pattern changes some seconds after its start.

    Attributes
    ----------
    summary : str
    rate : callable
        ``rate(elapsed)`` gives the requests a second of all accounts.
    hot : float
        Times its rate that the limited account sends, beside the others.
    strike : callable
        Called once with the run.
    """

    summary: str
    rate: Callable
    hot: float
    strike: Callable


def steady(elapsed):
    return BASE_RATE


def burst(elapsed):
    during = STRIKE_SECONDS <= elapsed < STRIKE_SECONDS + SPELL_SECONDS
    return BASE_RATE * BURST_FACTOR if during else BASE_RATE


def nothing(run):
    """Strike nothing."""


def turn_gray(run):
    """Have a share of the upstreams fail for a while though they are well."""
    count = round(len(run.environment.upstreams) * GRAY_SHARE)
    chosen = run.rng.sample(run.environment.upstreams, count)
    for member in chosen:
        member.fake.mode = "error"
    eventlet.sleep(SPELL_SECONDS)
    for member in chosen:
        member.fake.mode = ""


def shed_all(run):
    """Have every upstream refuse for a while."""
    for member in run.environment.upstreams:
        member.fake.mode = "shed"
    eventlet.sleep(SPELL_SECONDS)
    for member in run.environment.upstreams:
        member.fake.mode = ""


PATTERNS = {
    "burst": Pattern("four times the load for 4 s", burst, 0.0, nothing),
    "hot_account": Pattern(
        "one account at five times its rate", steady, HOT_FACTOR, nothing
    ),
    "gray_pool": Pattern("three in ten upstreams fail for 4 s", steady, 0.0, turn_gray),
    "shed_storm": Pattern("every upstream refuses for 4 s", steady, 0.0, shed_all),
    "mass_kill": Pattern("all hosts are killed at once", steady, 0.0, faults.kill_all),
}


class Load:
    """Callers that are free, and how many requests were sent."""

    def __init__(self, run):
        self.run = run
        self.free: list[callers.Caller] = []
        self.made = 0
        self.sent = 0

    def take(self):
        """Return a free caller, or one more."""
        if self.free:
            return self.free.pop(0)
        self.made += 1
        zone = environments.ZONES[self.made % len(environments.ZONES)]
        ports = hosts.Ports(*self.run.ports)
        name = f"caller{self.made}"
        return callers.Caller(name, zone, self.run.hosts, ports, self.run.rng)

    def send(self, account):
        """Send one request in a task of its own."""
        self.sent += 1
        eventlet.spawn(self.call, self.take(), account, f"r{self.sent}")

    def call(self, caller, account, request_id):
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
        self.free.append(caller)


def drive(run, pattern, seconds):
    """Send requests at the pattern's rate until its time is over."""
    load = Load(run)
    plain, limited = run.environment.accounts[:2]
    began_at = time.monotonic()
    due = hot_due = 0.0
    strike = eventlet.spawn_after(STRIKE_SECONDS, pattern.strike, run)
    last = began_at
    while time.monotonic() - began_at < seconds:
        now = time.monotonic()
        due += pattern.rate(now - began_at) * (now - last)
        hot_due += pattern.hot * limited.rate * (now - last)
        last = now
        while due >= 1.0:
            due -= 1.0
            load.send(plain)
        while hot_due >= 1.0:
            hot_due -= 1.0
            load.send(limited)
        eventlet.sleep(STEP_SECONDS)
    strike.wait()
    eventlet.sleep(CALM_DOWN_SECONDS)
    return began_at


def play(name, seconds=14.0, host_count=6, seed=1, report=None):
    """Play a pattern and report what callers saw.

    Parameters
    ----------
    name : str
        One of ``PATTERNS``.
    seconds : float
    host_count : int
    seed : int
    record_break : str, optional
        Path of the page to write.
    """
    if name not in PATTERNS:
        sys.exit(f"there is no pattern {name!r}; there are {', '.join(PATTERNS)}")
    pattern = PATTERNS[name]
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"experiment-{name}-"))
    run = runs.create_run(int(seed), int(host_count), folder, with_callers=False)
    try:
        eventlet.sleep(WARM_UP_SECONDS)
        began_at = drive(run, pattern, float(seconds))
    finally:
        hosts.stop_all(run.hosts)
    rows = experiment_reports.summarize(run.records, began_at)
    print(experiment_reports.format_table(pattern.summary, rows))
    if report is not None:
        experiment_reports.write_page(report, name, pattern.summary, rows)


def main():
    """Read the command line and play."""
    fire.Fire(play)


if __name__ == "__main__":
    main()
