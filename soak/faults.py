"""Faults from outside, drawn from a seed, in series that overlap.

A fault is a function of the run that strikes, waits and mends; each runs in a task of
its own, so that several are in force at once.
"""

import signal
import time
from typing import Callable, NamedTuple

import eventlet

from soak import hosts
from soak.links import MODES

__all__ = ["FAULTS", "Fault", "Span", "play_series"]

PAUSE_RANGE = (0.4, 3.0)
DOWN_RANGE = (0.3, 1.5)
SPELL_RANGE = (1.0, 3.5)
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
GRACE_SECONDS = 6.0
# Before its first line of a program the interpreter can't keep a signal from ending it.
INTERPRETER_SECONDS = 0.15
GAP_RANGE = (0.3, 1.6)


class Span(NamedTuple):
    """A time in which something was disturbed.

    Attributes
    ----------
    kind : str
        Name of the fault.
    subjects : tuple of str
        Hosts, upstreams or ``store``.
    """

    kind: str
    subjects: tuple[str, ...]
    began_at: float
    ended_at: float


class Fault(NamedTuple):
    """A fault and how often it is drawn."""

    name: str
    strike: Callable
    weight: int


def draw(run, bounds):
    """Return seconds between two bounds."""
    return run.rng.uniform(*bounds)


def note(run, kind, subjects, began_at):
    """Write down that a disturbance has ended now."""
    run.spans.append(Span(kind, tuple(subjects), began_at, time.monotonic()))


def take_host(run):
    """Return a host that no other fault is busy with, or None."""
    free = [host for host in run.hosts if not host.is_busy and host.is_running()]
    if not free:
        return None
    host = run.rng.choice(free)
    host.is_busy = True
    return host


def start_again(host):
    """Start a host unless a fault that overlapped has done so."""
    if not host.is_running():
        hosts.start(host)
    host.is_busy = False


def kill(run):
    """Kill a host and start it again."""
    host = take_host(run)
    if host is None:
        return
    began_at = time.monotonic()
    host.send_signal(signal.SIGKILL)
    host.wait(5.0)
    eventlet.sleep(draw(run, DOWN_RANGE))
    start_again(host)
    note(run, "kill", [host.ip], began_at)


def kill_all(run):
    """Kill every host at once and start them again."""
    began_at = time.monotonic()
    struck = list(run.hosts)
    for host in struck:
        host.is_busy = True
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL)
    for host in struck:
        host.wait(5.0)
    eventlet.sleep(draw(run, DOWN_RANGE))
    for host in struck:
        start_again(host)
    note(run, "kill_all", [host.ip for host in struck], began_at)
    run.all_started_at.append(time.monotonic())


def stop(run):
    """Stop a host as planned and start it again."""
    host = take_host(run)
    if host is None:
        return
    began_at = time.monotonic()
    host.send_signal(signal.SIGTERM)
    if not host.wait(GRACE_SECONDS):
        run.broken.append(f"{host.name} ran on {GRACE_SECONDS} s after its SIGTERM")
        host.send_signal(signal.SIGKILL)
        host.wait(5.0)
    start_again(host)
    note(run, "stop", [host.ip], began_at)


def pause(run):
    """Suspend a host for a while."""
    host = take_host(run)
    if host is None:
        return
    began_at = time.monotonic()
    host.send_signal(signal.SIGSTOP)
    eventlet.sleep(draw(run, PAUSE_RANGE))
    host.send_signal(signal.SIGCONT)
    host.is_busy = False
    note(run, "pause", [host.ip], began_at)


def reload(run):
    """Tell a host that its settings file has changed."""
    host = run.rng.choice(run.hosts)
    if time.monotonic() - host.lives[-1].started_at > INTERPRETER_SECONDS:
        host.send_signal(signal.SIGHUP)
    note(run, "reload", [], time.monotonic())


def break_store(run):
    """Have the store answer wrongly, or not at all, for every host."""
    began_at = time.monotonic()
    run.environment.store.fault = run.rng.choice(STORE_FAULTS)
    eventlet.sleep(draw(run, SPELL_RANGE))
    run.environment.store.fault = ""
    note(run, "break_store", ["store"], began_at)


def cut_store(run):
    """Cut some hosts off from the store."""
    began_at = time.monotonic()
    chosen = run.rng.sample(run.hosts, run.rng.randint(1, len(run.hosts) // 2))
    mode = run.rng.choice(MODES)
    for host in chosen:
        run.store_link_by_ip[host.ip].set_mode(mode)
    eventlet.sleep(draw(run, SPELL_RANGE))
    for host in chosen:
        run.store_link_by_ip[host.ip].set_mode("")
    note(run, "cut_store", [host.ip for host in chosen], began_at)


def spoil_upstream(run):
    """Have some upstreams fail in a way of their own."""
    began_at = time.monotonic()
    chosen = run.rng.sample(run.environment.upstreams, run.rng.randint(1, 3))
    for member in chosen:
        member.fake.mode = run.rng.choice(UPSTREAM_MODES)
    eventlet.sleep(draw(run, SPELL_RANGE))
    for member in chosen:
        member.fake.mode = ""
    note(run, "spoil_upstream", [m.fake.name for m in chosen], began_at)


def cut_upstream(run):
    """Delay, reset, cut one way or silence the connections to some upstreams."""
    began_at = time.monotonic()
    chosen = run.rng.sample(run.environment.upstreams, run.rng.randint(1, 4))
    for member in chosen:
        member.link.set_mode(run.rng.choice(MODES))
    eventlet.sleep(draw(run, SPELL_RANGE))
    for member in chosen:
        member.link.set_mode("")
    note(run, "cut_upstream", [m.fake.name for m in chosen], began_at)


def replace_upstream(run):
    """Have an upstream's address taken over by one of another pool."""
    began_at = time.monotonic()
    member = run.rng.choice(run.environment.upstreams)
    pool = run.rng.choice(("first", "second"))
    name = member.fake.name
    run.environment.replace(member, pool)
    note(run, "replace_upstream", [name, member.fake.name], began_at)


def drain_upstream(run):
    """Have an upstream say that it leaves, and come back later."""
    began_at = time.monotonic()
    member = run.rng.choice(run.environment.upstreams)
    name = member.fake.name
    run.environment.write_member(member, draining=True)
    run.environment.note("draining", name)
    eventlet.sleep(draw(run, SPELL_RANGE) + 3.0)
    if member.fake.name == name:
        run.environment.write_member(member)
        run.environment.note("undrained", name)
    note(run, "drain_upstream", [name], began_at)


def withdraw_key(run):
    """Take an account's key away and give it back later."""
    if run.environment.withdrawn:
        return
    account = run.environment.accounts[-1]
    run.environment.withdrawn.add(account.name)
    run.environment.write_configuration()
    run.environment.note("key_withdrawn", account.name)
    eventlet.sleep(7.0)
    run.environment.withdrawn.discard(account.name)
    run.environment.note("key_issued", account.name)
    run.environment.write_configuration()


def take_zone_out(run):
    """Take a zone out and bring it back later."""
    zone = run.rng.choice(("a", "b", "c"))
    if zone in run.environment.zones_out:
        return
    run.environment.zones_out.add(zone)
    run.environment.store.put("evacuations", zone, {})
    run.environment.note("zone_out", zone)
    eventlet.sleep(7.0)
    run.environment.zones_out.discard(zone)
    run.environment.note("zone_back", zone)
    run.environment.store.remove("evacuations", zone)


def move_route(run):
    """Have a route go to the other pool."""
    prefix = run.rng.choice(tuple(run.environment.pool_by_prefix))
    before = run.environment.pool_by_prefix[prefix]
    run.environment.pool_by_prefix[prefix] = "second" if before == "first" else "first"
    run.environment.write_configuration()
    run.environment.note(
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
    Fault("spoil_upstream", spoil_upstream, 4),
    Fault("cut_upstream", cut_upstream, 4),
    Fault("replace_upstream", replace_upstream, 2),
    Fault("drain_upstream", drain_upstream, 2),
    Fault("withdraw_key", withdraw_key, 2),
    Fault("take_zone_out", take_zone_out, 2),
    Fault("move_route", move_route, 3),
)


def play_series(run, until):
    """Strike one fault after another, without waiting for their ends."""
    weights = [fault.weight for fault in FAULTS]
    tasks = []
    while time.monotonic() < until:
        fault = run.rng.choices(FAULTS, weights)[0]
        run.struck.append((round(time.monotonic() - run.began_at, 2), fault.name))
        tasks.append(eventlet.spawn(fault.strike, run))
        eventlet.sleep(draw(run, GAP_RANGE))
    for task in tasks:
        task.wait()
