"""One run from start to verdict."""

import pathlib
import random
import tempfile
import time
from typing import NamedTuple

import eventlet

from soak import callers, checks, environments, faults, hosts
from soak.links import open_link

__all__ = ["Verdict", "play"]

WARM_UP_SECONDS = 4.0
CALM_DOWN_SECONDS = 2.0
CALLERS = 12


class Verdict(NamedTuple):
    """What a run came to.

    Attributes
    ----------
    broken : list of str
    requests, served : int
    struck : list
        Times and names of the faults.
    folder : str
        Where the logs of the hosts are.
    """

    seed: int
    broken: list[str]
    requests: int
    served: int
    struck: list
    folder: str


class Run:
    """State that the faults of one run share."""

    def __init__(self, seed, environment, fleet, store_link_by_ip, ports):
        self.seed = seed
        self.ports = ports
        self.rng = random.Random(seed)
        self.environment = environment
        self.hosts = fleet
        self.store_link_by_ip = store_link_by_ip
        self.began_at = time.monotonic()
        self.spans: list[faults.Span] = []
        self.struck: list = []
        self.all_started_at: list[float] = []
        self.broken: list[str] = []
        self.records: list[callers.Sent] = []
        self.is_over = False


def create_run(seed, host_count, folder, with_callers=True):
    """Return a run whose hosts are started, and callers that call without end."""
    environment = environments.create_world(seed)
    ips = [f"127.0.{1 + seed % 200}.{2 + number}" for number in range(host_count)]
    ports = hosts.free_ports(ips, len(hosts.Ports._fields))
    fleet, store_link_by_ip = [], {}
    for number, ip in enumerate(ips):
        zone = environments.ZONES[number % len(environments.ZONES)]
        link = store_link_by_ip[ip] = open_link(environment.store.address)
        fleet.append(
            hosts.create(
                number, zone, environments.ZONES, ports, ips, link.address, folder
            )
        )
    run = Run(seed, environment, fleet, store_link_by_ip, ports)
    for host in fleet:
        hosts.start(host)
    if with_callers:
        start_callers(run)
    return run


def start_callers(run):
    """Start callers that send one request after another until the run is over."""
    seed, environment = run.seed, run.environment
    for number in range(CALLERS):
        zone = environments.ZONES[number % len(environments.ZONES)]
        rng = random.Random(seed * 1000 + number)
        caller = callers.Caller(f"s{seed}c{number}", zone, run.hosts, run.ports, rng)
        eventlet.spawn(
            callers.send_requests,
            caller,
            environment,
            environments.expected_body,
            run.records,
            lambda: run.is_over,
        )


def gather(run):
    """Return what a run left behind."""
    environment = run.environment
    runs = sorted(
        (ran for member in environment.upstreams for ran in member.fake.executions),
        key=lambda ran: ran.started_at,
    )
    for host in run.hosts:
        host.is_running()
    return checks.Evidence(
        run.records,
        runs,
        run.spans,
        environment.changes,
        {host.ip: host.lives for host in run.hosts},
        environment.zone_by_upstream,
        environment.pool_by_upstream,
        environment.accounts,
        run.all_started_at,
    )


def play(seed, seconds, host_count=6):
    """Run hosts under faults for a while and return the verdict."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = create_run(seed, host_count, folder)
    try:
        eventlet.sleep(WARM_UP_SECONDS)
        faults.play_series(run, time.monotonic() + seconds)
        eventlet.sleep(CALM_DOWN_SECONDS)
        run.is_over = True
        eventlet.sleep(callers.PATIENCE_SECONDS)
        evidence = gather(run)
    finally:
        run.is_over = True
        hosts.stop_all(run.hosts)
    served = sum(sent.status == 200 for sent in evidence.records)
    broken = run.broken + checks.check_all(evidence)
    if not served:
        broken.append("nothing was served")
    return Verdict(seed, broken, len(evidence.records), served, run.struck, str(folder))
