"""Starts fake servers and daemons as child processes, and stops them by process id."""

import json
import os
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

import urllib3

from trefoilpin import codecs, keys
from trefoilpin.fakes.free_ports import find_free_ports
from trefoilpin.records import (
    AvailabilityZone,
    ClientAccount,
    Key,
    ObjectChange,
    Pool,
    Route,
    Upstream,
)

__all__ = [
    "Fleet",
    "HostProcess",
    "UpstreamProcess",
    "call",
    "create_fleet",
    "free_address",
    "restart_host",
    "standard_changes",
    "stop_fleet",
    "stop_host",
    "submit",
    "wait_for",
    "wait_for_ticket",
]

READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.02
KEY_SALT = "00ff"
SHUTDOWN_SETTINGS = {"address_lifetime_seconds": 1.0, "drain_seconds": 2.0}
PEER_SECRET = "a secret of the fleet's own"


class HostProcess(NamedTuple):
    """A running daemon and its addresses."""

    name: str
    zone: str
    caller_address: str
    peer_address: str
    admin_address: str
    settings_path: str
    process: subprocess.Popen


class UpstreamProcess(NamedTuple):
    """A running fake upstream."""

    name: str
    address: str
    zone: str
    process: subprocess.Popen


class Fleet:
    """The processes that were started, kept so that they can be stopped by id."""

    def __init__(self, directory):
        self.directory = directory
        self.store_address = ""
        self.store = None
        self.hosts: list[HostProcess] = []
        self.upstreams: list[UpstreamProcess] = []
        self.processes: list[subprocess.Popen] = []


def free_address():
    """Return an unused loopback address; no address is returned twice."""
    (port,) = find_free_ports(("127.0.0.1",), 1)
    return f"127.0.0.1:{port}"


def call(method, address, path, value=None, timeout=10.0):
    """Send a request to a JSON endpoint; return the status and the decoded body."""
    response = urllib3.request(
        method,
        f"http://{address}{path}",
        body=None if value is None else json.dumps(value).encode(),
        timeout=timeout,
        retries=False,
    )
    return response.status, json.loads(response.data or b"null")


def wait_for(condition, seconds=READY_TIMEOUT_SECONDS):
    """Poll until a condition holds; network errors count as not holding.

    Raises
    ------
    TimeoutError
        When the condition does not hold within ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, urllib3.exceptions.HTTPError):
            pass
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError("condition was not met before the timeout")


def start_process(fleet, name, *arguments):
    """Start one ``trefoilpin`` process and append its output to its own log file."""
    path = os.path.join(fleet.directory, f"{name}.log")
    with open(path, "ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "trefoilpin", *arguments], stdout=log, stderr=log
        )
    fleet.processes.append(process)
    return process


def start_store(fleet, seed):
    """Start the fake store."""
    fleet.store_address = fleet.store_address or free_address()
    arguments = ("--address", fleet.store_address, "--seed", str(seed))
    fleet.store = start_process(fleet, "store", "fake", "store", *arguments)


def start_upstream(fleet, name, zone, slots=6, service_seconds=0.005, seed=0):
    """Start a fake upstream."""
    address = free_address()
    process = start_process(
        fleet,
        f"upstream-{name}",
        "fake",
        "upstream",
        f"--address={address}",
        f"--name={name}",
        f"--slots={slots}",
        f"--service_seconds={service_seconds}",
        f"--seed={seed}",
    )
    upstream = UpstreamProcess(name, address, zone, process)
    fleet.upstreams.append(upstream)
    return upstream


def write_settings(path, tables):
    """Write tables of strings, numbers and lists as TOML."""
    with open(path, "w", encoding="utf-8") as file:
        for section, table in tables.items():
            file.write(f"[{section}]\n")
            for name, value in table.items():
                file.write(f"{name} = {json.dumps(value)}\n")


def start_host(fleet, name, zone, extra=None, peer=None, seeds=()):
    """Start a daemon.

    Parameters
    ----------
    fleet : Fleet
    name, zone : str
    extra : dict, optional
        Additional settings by section.
    peer : str, optional
        Address that the other hosts connect to; a free one by default.
    seeds : sequence of str
        Peer addresses that are contacted while the store is down.
    """
    caller, admin = free_address(), free_address()
    peer = peer or free_address()
    tables: dict[str, Any] = {
        "host": {
            "name": name,
            "zone": zone,
            "caller_address": caller,
            "peer_address": peer,
            "admin_address": admin,
        },
        "store": {"addresses": [fleet.store_address]},
        "peers": {"secret": PEER_SECRET, "seeds": list(seeds)},
        "shutdown": dict(SHUTDOWN_SETTINGS),
    }
    for section, table in (extra or {}).items():
        tables.setdefault(section, {}).update(table)
    path = os.path.join(fleet.directory, f"{name}.toml")
    write_settings(path, tables)
    process = start_process(fleet, name, "daemon", "--settings", path)
    host = HostProcess(name, zone, caller, peer, admin, path, process)
    fleet.hosts.append(host)
    return host


def create_fleet(
    zones, upstream_count, seed, slots=6, service_seconds=0.005, extra=None
):
    """Start a store, upstreams and one host for each entry of ``zones``; wait for them.

    Upstreams are assigned to the zones in turn.
    """
    fleet = Fleet(tempfile.mkdtemp(prefix="trefoilpin-"))
    try:
        start_fleet(fleet, zones, upstream_count, seed, slots, service_seconds, extra)
    except BaseException:
        stop_fleet(fleet)
        raise
    return fleet


def start_fleet(fleet, zones, upstream_count, seed, slots, service_seconds, extra):
    """Start every process of a fleet and wait until each one answers."""
    start_store(fleet, seed)
    wait_for(lambda: call("GET", fleet.store_address, "/calls")[0] == 200)
    for number in range(upstream_count):
        zone = zones[number % len(zones)]
        name = f"u{number + 1}"
        start_upstream(fleet, name, zone, slots, service_seconds, seed)
    peers = [free_address() for _ in zones]
    for number, zone in enumerate(zones):
        start_host(fleet, f"h{number + 1}", zone, extra, peers[number], peers)
    for upstream in fleet.upstreams:
        wait_for(lambda: call("GET", upstream.address, "/_load")[0] == 200)
    for host in fleet.hosts:
        wait_for(lambda: call("GET", host.admin_address, "/status")[0] == 200)


def stop_host(host):
    """Shut a host down gracefully; return its exit code."""
    host.process.terminate()
    return host.process.wait(STOP_TIMEOUT_SECONDS)


def restart_host(fleet, host):
    """Restart a stopped host with the same settings and wait until it answers."""
    process = start_process(
        fleet, host.name, "daemon", "--settings", host.settings_path
    )
    restarted = host._replace(process=process)
    fleet.hosts[fleet.hosts.index(host)] = restarted
    wait_for(lambda: call("GET", host.admin_address, "/status")[0] == 200)
    return restarted


def stop_fleet(fleet):
    """Kill every process of the fleet and wait for its exit."""
    for process in fleet.processes:
        if process.poll() is None:
            process.kill()
    for process in fleet.processes:
        process.wait()


def standard_changes(fleet, accounts=("hielo", "cupula"), rate=1000.0):
    """Return changes that create zones, a pool, accounts with keys and three routes.

    Each account has one key, whose text is ``<account>.secret``.
    """
    zones = sorted({upstream.zone for upstream in fleet.upstreams})
    records = [("zone", AvailabilityZone(zone, "default")) for zone in zones]
    upstreams = tuple(
        Upstream(upstream.name, upstream.address, upstream.zone, 6)
        for upstream in fleet.upstreams
    )
    records.append(("pool", Pool("ledger", upstreams, max(1, len(upstreams) // 2))))
    for name in accounts:
        digest = keys.digest_secret(KEY_SALT, "secret")
        records.append(("account", ClientAccount(name, rate, rate)))
        records.append(("key", Key(name, name, KEY_SALT, digest)))
    reads = ("GET", "HEAD")
    records.append(("route", Route("read", "", "/ponds", reads, "ledger")))
    records.append(("route", Route("open", "", "/open", reads, "ledger", open=True)))
    records.append(("route", Route("write", "", "/slots", ("POST",), "ledger")))
    return tuple(ObjectChange(kind, record.id, record) for kind, record in records)


def submit(fleet, number, changes):
    """Submit a ticket through the first host; return the status and the body.

    A refusal without ``next_number`` is transient, as while too few hosts have found
    each other: the same ticket is then sent again until ``READY_TIMEOUT_SECONDS``.
    """
    value = {"number": number, "changes": codecs.encode_changes(changes)}
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while True:
        status, row = call("POST", fleet.hosts[0].admin_address, "/tickets", value)
        if status == 200 or "next_number" in row or time.monotonic() > deadline:
            return status, row
        time.sleep(POLL_INTERVAL_SECONDS)


def wait_for_ticket(fleet, number):
    """Wait until every host has applied a ticket."""

    def is_in_force(host):
        return call("GET", host.admin_address, "/status")[1]["ticket"] >= number

    for host in fleet.hosts:
        wait_for(lambda: is_in_force(host))
