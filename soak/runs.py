"""One run: start the hosts, inject faults, check the invariants."""

import pathlib
import random
import tempfile
import time
from typing import NamedTuple

import eventlet

from soak import callers, checks, environments, fault_series, faults, hosts
from soak.fault_proxies import start_proxy
from trefoilpin.fakes.free_ports import find_free_ports

__all__ = ["SoakResult", "run_seed"]

WARM_UP_SECONDS = 4.0
COOL_DOWN_SECONDS = 2.0
CALLER_COUNT = 12
# Of the callers with a home, one for each host, all together.
HOME_REQUESTS_PER_SECOND = 90.0


class SoakResult(NamedTuple):
    """Outcome of a run.

    Attributes
    ----------
    violations : list of str
        Messages on invariants that did not hold.
    requests, served : int
    injected_faults : list
        Seconds since the start and names of the faults.
    log_folder : str
        Folder with the hosts' logs.
    """

    seed: int
    violations: list[str]
    requests: int
    served: int
    injected_faults: list
    log_folder: str


class Run:
    """State of one run, shared by its faults and callers."""

    def __init__(self, seed, environment, all_hosts, store_proxy_by_ip, ports):
        self.seed = seed
        self.ports = ports
        self.rng = random.Random(seed)
        self.series_rng = random.Random(f"series {seed}")
        self.volley_count = 0
        self.environment = environment
        self.hosts = all_hosts
        self.store_proxy_by_ip = store_proxy_by_ip
        self.began_at = time.monotonic()
        self.disturbances: list[faults.Disturbance] = []
        self.injected_faults: list = []
        self.full_restart_times: list[float] = []
        self.violations: list[str] = []
        self.records: list[callers.RequestRecord] = []
        self.is_over = False


def create_run(seed, host_count, folder, with_callers=True):
    """Start hosts, and callers unless told otherwise; return their run."""
    environment = environments.create_environment(seed)
    ips = [f"127.0.{1 + seed % 200}.{2 + number}" for number in range(host_count)]
    ports = hosts.Ports(*find_free_ports(ips, len(hosts.Ports._fields)))
    all_hosts, store_proxy_by_ip = [], {}
    for number, ip in enumerate(ips):
        zone = environments.ZONES[number % len(environments.ZONES)]
        proxy = store_proxy_by_ip[ip] = start_proxy(environment.store.address)
        all_hosts.append(
            hosts.create(
                number, zone, environments.ZONES, ports, ips, proxy.address, folder
            )
        )
    run = Run(seed, environment, all_hosts, store_proxy_by_ip, ports)
    for host in all_hosts:
        hosts.start(host)
    if with_callers:
        start_callers(run)
    return run


def start_callers(run):
    """Start callers that send requests until the run is over."""
    seed, environment = run.seed, run.environment
    homes = [None] * CALLER_COUNT + run.hosts
    for number, home in enumerate(homes):
        zone = environments.ZONES[number % len(environments.ZONES)]
        rng = random.Random(seed * 1000 + number)
        caller = callers.Caller(
            f"s{seed}c{number}", zone, run.hosts, run.ports, rng, home
        )
        if home is not None:
            caller.pause_seconds = len(run.hosts) / HOME_REQUESTS_PER_SECOND
        eventlet.spawn(
            callers.send_requests,
            caller,
            environment,
            environments.expected_body,
            run.records,
            lambda: run.is_over,
        )


def collect_observations(run):
    """Return the ``Observations`` of a run."""
    environment = run.environment
    executions, rejected = [], []
    for upstream in environment.upstreams:
        executions.extend(upstream.fake.executions)
        rejected.extend(upstream.fake.rejected)
    for requests in (executions, rejected):
        requests.sort(key=lambda request: request.started_at)
    for host in run.hosts:
        host.is_running()
    return checks.Observations(
        run.records,
        executions,
        rejected,
        run.disturbances,
        environment.changes,
        {host.ip: host.process_runs for host in run.hosts},
        environment.zone_by_upstream,
        environment.pool_by_upstream,
        environment.accounts,
        run.full_restart_times,
    )


def run_seed(seed, seconds, host_count=6, copy_share=0.0):
    """Run hosts under the faults of a seed and return the ``SoakResult``."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = create_run(seed, host_count, folder)
    for upstream in run.environment.upstreams:
        upstream.fake.copy_share = copy_share
    try:
        eventlet.sleep(WARM_UP_SECONDS)
        end_at = time.monotonic() + seconds
        series = eventlet.spawn(fault_series.inject_series, run, end_at)
        faults.inject_faults(run, end_at)
        series.wait()
        eventlet.sleep(COOL_DOWN_SECONDS)
        run.is_over = True
        eventlet.sleep(callers.REQUEST_TIMEOUT_SECONDS)
        observations = collect_observations(run)
    finally:
        run.is_over = True
        hosts.stop_all(run.hosts)
    served = sum(record.status == 200 for record in observations.records)
    violations = run.violations + checks.check_all(observations)
    if not served:
        violations.append("nothing was served")
    return SoakResult(
        seed,
        violations,
        len(observations.records),
        served,
        run.injected_faults,
        str(folder),
    )
