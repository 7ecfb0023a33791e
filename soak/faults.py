"""Injects faults from outside the hosts, in a sequence drawn from a seed.

A fault is a function of the run that causes it, waits and repairs it. Each runs in a
task of its own, so faults overlap.
"""

import signal
import time
from typing import Callable, NamedTuple

import eventlet

from soak import hosts
from soak.fault_proxies import MODES

__all__ = ["FAULTS", "Fault", "Disturbance", "inject_faults", "record_disturbance"]

PAUSE_SECONDS_RANGE = (0.4, 3.0)
DOWNTIME_SECONDS_RANGE = (0.3, 1.5)
FAULT_SECONDS_RANGE = (1.0, 3.5)
UPSTREAM_MODES = (
    "error",
    "shed",
    "truncated",
    "unsigned",
    "stray",
    "unframed",
    "reset",
)
STORE_FAULTS = ("unavailable", "rate_limited", "no_response", "invalid_json")
GRACE_PERIOD_SECONDS = 6.0
# Until the interpreter reaches the first line of edge.py, which ignores SIGHUP, the
# signal ends the process.
INTERPRETER_START_SECONDS = 0.15
# Hosts have to follow a change within 2 s. One that was written this long before the
# store is restored may not revert.
READ_SECONDS = 2.2
MAX_CALM_WAIT_SECONDS = 8.0
# Upstreams write their entries again within 2.2 s, operators the zones within 6 s.
REWRITE_SECONDS_RANGE = (0.5, 1.8)
INTERVAL_SECONDS_RANGE = (0.3, 1.6)


class Disturbance(NamedTuple):
    """Interval in which a fault was in force, in monotonic seconds.

    Attributes
    ----------
    kind : str
        Name of the fault.
    subjects : tuple of str
        IP addresses of hosts, names of upstreams, or ``store``.
    """

    kind: str
    subjects: tuple[str, ...]
    began_at: float
    ended_at: float


class Fault(NamedTuple):
    """A fault and its relative frequency.

    ``inject(run)`` causes it and returns once it is repaired.
    """

    name: str
    inject: Callable
    weight: int


def draw_seconds(run, range_seconds):
    """Return a random number of seconds within a range."""
    return run.rng.uniform(*range_seconds)


def record_disturbance(run, kind, subjects, began_at):
    """Record a disturbance that ends now."""
    run.disturbances.append(
        Disturbance(kind, tuple(subjects), began_at, time.monotonic())
    )


def reserve_host(run):
    """Reserve a running host that no other fault uses; return it, or None."""
    available = [
        host for host in run.hosts if not host.is_reserved and host.is_running()
    ]
    if not available:
        return None
    host = run.rng.choice(available)
    host.is_reserved = True
    return host


def restart(host):
    """Start a host unless an overlapping fault has done so, and release it."""
    if not host.is_running():
        hosts.start(host)
    host.is_reserved = False


def kill(run):
    """Kill a host and restart it."""
    host = reserve_host(run)
    if host is None:
        return
    began_at = time.monotonic()
    host.send_signal(signal.SIGKILL)
    host.wait(5.0)
    eventlet.sleep(draw_seconds(run, DOWNTIME_SECONDS_RANGE))
    restart(host)
    record_disturbance(run, "kill", [host.ip], began_at)


def kill_all(run):
    """Kill all hosts at once and restart them.

    Not while the store lacks what was written: no host would know of it any more.
    """
    if run.environment.is_restoring:
        return
    began_at = time.monotonic()
    killed = list(run.hosts)
    for host in killed:
        host.is_reserved = True
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL)
    for host in killed:
        host.wait(5.0)
    eventlet.sleep(draw_seconds(run, DOWNTIME_SECONDS_RANGE))
    for host in killed:
        restart(host)
    record_disturbance(run, "kill_all", [host.ip for host in killed], began_at)
    run.full_restart_times.append(time.monotonic())


def stop(run):
    """Stop a host with SIGTERM and restart it."""
    host = reserve_host(run)
    if host is None:
        return
    began_at = time.monotonic()
    host.send_signal(signal.SIGTERM)
    if not host.wait(GRACE_PERIOD_SECONDS):
        run.violations.append(
            f"{host.name} ran on {GRACE_PERIOD_SECONDS} s after its SIGTERM"
        )
        host.send_signal(signal.SIGKILL)
        host.wait(5.0)
    restart(host)
    record_disturbance(run, "stop", [host.ip], began_at)


def pause(run):
    """Suspend a host with SIGSTOP and resume it."""
    host = reserve_host(run)
    if host is None:
        return
    began_at = time.monotonic()
    host.send_signal(signal.SIGSTOP)
    eventlet.sleep(draw_seconds(run, PAUSE_SECONDS_RANGE))
    host.send_signal(signal.SIGCONT)
    host.is_reserved = False
    record_disturbance(run, "pause", [host.ip], began_at)


def reload(run):
    """Have a host reload its settings file."""
    host = run.rng.choice(run.hosts)
    if time.monotonic() - host.process_runs[-1].started_at > INTERPRETER_START_SECONDS:
        host.send_signal(signal.SIGHUP)
    record_disturbance(run, "reload", [], time.monotonic())


def break_store(run):
    """Make the store fail for every host."""
    began_at = time.monotonic()
    run.environment.store.fault = run.rng.choice(STORE_FAULTS)
    eventlet.sleep(draw_seconds(run, FAULT_SECONDS_RANGE))
    run.environment.store.fault = ""
    record_disturbance(run, "break_store", ["store"], began_at)


def wait_until_read(run):
    """Wait until hosts have read all changes; return False if that takes too long."""
    environment = run.environment
    end_at = time.monotonic() + MAX_CALM_WAIT_SECONDS
    calm_since = time.monotonic()
    while time.monotonic() < end_at:
        are_hosts_up = all(host.is_running() for host in run.hosts)
        if environment.store.fault or not are_hosts_up:
            calm_since = time.monotonic()
        changed_at = environment.changes[-1].written_at if environment.changes else 0.0
        if time.monotonic() - max(calm_since, changed_at) > READ_SECONDS:
            return True
        eventlet.sleep(0.05)
    return False


def restore_store(run):
    """Restore the store from an older copy; writers catch up some time later.

    A route is moved after the copy, so that each restore loses a change whose reversion
    the checks see.
    """
    environment = run.environment
    if environment.is_restoring:
        return
    environment.is_restoring = True
    snapshot = environment.store.take_snapshot()
    move_route(run)
    eventlet.sleep(draw_seconds(run, FAULT_SECONDS_RANGE))
    if wait_until_read(run):
        began_at = time.monotonic()
        environment.store.restore(snapshot)
        eventlet.sleep(draw_seconds(run, REWRITE_SECONDS_RANGE))
        environment.write_again()
        record_disturbance(run, "restore_store", [], began_at)
    environment.is_restoring = False


def cut_store(run):
    """Disturb the connections between some hosts and the store."""
    began_at = time.monotonic()
    affected = run.rng.sample(run.hosts, run.rng.randint(1, len(run.hosts) // 2))
    mode = run.rng.choice(MODES)
    for host in affected:
        run.store_proxy_by_ip[host.ip].set_mode(mode)
    eventlet.sleep(draw_seconds(run, FAULT_SECONDS_RANGE))
    for host in affected:
        run.store_proxy_by_ip[host.ip].set_mode("")
    record_disturbance(run, "cut_store", [host.ip for host in affected], began_at)


def spoil_upstream(run):
    """Make some upstreams fail, each in its own mode."""
    began_at = time.monotonic()
    affected = run.rng.sample(run.environment.upstreams, run.rng.randint(1, 3))
    for upstream in affected:
        upstream.fake.mode = run.rng.choice(UPSTREAM_MODES)
    eventlet.sleep(draw_seconds(run, FAULT_SECONDS_RANGE))
    for upstream in affected:
        upstream.fake.mode = ""
    record_disturbance(
        run, "spoil_upstream", [proxied.fake.name for proxied in affected], began_at
    )


def cut_upstream(run):
    """Disturb the connections to some upstreams, each in its own mode."""
    began_at = time.monotonic()
    affected = run.rng.sample(run.environment.upstreams, run.rng.randint(1, 4))
    for upstream in affected:
        upstream.proxy.set_mode(run.rng.choice(MODES))
    eventlet.sleep(draw_seconds(run, FAULT_SECONDS_RANGE))
    for upstream in affected:
        upstream.proxy.set_mode("")
    record_disturbance(
        run, "cut_upstream", [proxied.fake.name for proxied in affected], began_at
    )


def replace_upstream(run):
    """Replace an upstream by a new instance at its address, in any pool."""
    began_at = time.monotonic()
    upstream = run.rng.choice(run.environment.upstreams)
    pool = run.rng.choice(("first", "second"))
    name = upstream.fake.name
    run.environment.replace(upstream, pool)
    record_disturbance(run, "replace_upstream", [name, upstream.fake.name], began_at)


def drain_upstream(run):
    """Mark an upstream as draining and return it to service later."""
    began_at = time.monotonic()
    upstream = run.rng.choice(run.environment.upstreams)
    name = upstream.fake.name
    run.environment.write_upstream(upstream, draining=True)
    run.environment.record_change("draining", name)
    eventlet.sleep(draw_seconds(run, FAULT_SECONDS_RANGE) + 3.0)
    if upstream.fake.name == name:
        run.environment.write_upstream(upstream)
        run.environment.record_change("drain_ended", name)
    record_disturbance(run, "drain_upstream", [name], began_at)


def withdraw_key(run):
    """Withdraw an account's key and issue it again later."""
    if run.environment.revoked_accounts:
        return
    account = run.environment.accounts[-1]
    run.environment.revoked_accounts.add(account.name)
    run.environment.write_configuration()
    run.environment.record_change("key_withdrawn", account.name)
    eventlet.sleep(7.0)
    run.environment.revoked_accounts.discard(account.name)
    run.environment.record_change("key_issued", account.name)
    run.environment.write_configuration()


def take_zone_out(run):
    """Take a zone out of service and return it later."""
    zone = run.rng.choice(("a", "b", "c"))
    if zone in run.environment.zones_out:
        return
    run.environment.zones_out.add(zone)
    run.environment.store.put("evacuations", zone, {})
    run.environment.record_change("zone_out", zone)
    eventlet.sleep(7.0)
    run.environment.zones_out.discard(zone)
    run.environment.record_change("zone_restored", zone)
    run.environment.remove("evacuations", zone)


def move_route(run):
    """Point a route at the other pool."""
    prefix = run.rng.choice(tuple(run.environment.pool_by_prefix))
    previous_pool = run.environment.pool_by_prefix[prefix]
    run.environment.pool_by_prefix[prefix] = (
        "second" if previous_pool == "first" else "first"
    )
    run.environment.write_configuration()
    run.environment.record_change(
        "route_moved", f"{prefix} {run.environment.pool_by_prefix[prefix]}"
    )


FAULTS = (
    Fault("kill", kill, 4),
    Fault("kill_all", kill_all, 1),
    Fault("stop", stop, 4),
    Fault("pause", pause, 3),
    Fault("reload", reload, 2),
    Fault("break_store", break_store, 3),
    Fault("cut_store", cut_store, 3),
    Fault("restore_store", restore_store, 3),
    Fault("spoil_upstream", spoil_upstream, 4),
    Fault("cut_upstream", cut_upstream, 4),
    Fault("replace_upstream", replace_upstream, 2),
    Fault("drain_upstream", drain_upstream, 2),
    Fault("withdraw_key", withdraw_key, 2),
    Fault("take_zone_out", take_zone_out, 2),
    Fault("move_route", move_route, 3),
)


def inject_faults(run, end_at, fault_table=FAULTS, rng=None):
    """Start faults at random intervals until a time, then wait until all have ended."""
    rng = rng or run.rng
    weights = [fault.weight for fault in fault_table]
    tasks = []
    while time.monotonic() < end_at:
        fault = rng.choices(fault_table, weights)[0]
        run.injected_faults.append(
            (round(time.monotonic() - run.began_at, 2), fault.name)
        )
        tasks.append(eventlet.spawn(fault.inject, run))
        eventlet.sleep(rng.uniform(*INTERVAL_SECONDS_RANGE))
    for task in tasks:
        task.wait()
