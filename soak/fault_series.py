"""Faults in series: cold starts, requests to all hosts at once, overlapping faults.

They are drawn from random numbers of their own, so the faults of ``faults`` keep their
sequence.
"""

import random
import time

import eventlet

from soak import callers, environments, faults

__all__ = ["SERIES_FAULTS", "inject_series"]

COLD_SECONDS = (3.0, 4.0, 5.0)
MAX_COLD_STARTS = 3
MAX_WARM_SECONDS = 1.5
ENTRY_INTERVAL_SECONDS = 1.0
MAX_VOLLEYS = 3
VOLLEY_INTERVAL_SECONDS = 0.6
SERIES_LENGTH_RANGE = (3, 6)
SERIES_GAP_SECONDS_RANGE = (0.02, 0.3)


def turn_cold(run):
    """Turn upstreams of a pool cold, up to all of them and again and again.

    Their entries keep the duration or state what is left of it.
    """
    rng, environment = run.series_rng, run.environment
    pool = rng.choice(environments.POOLS)
    members = [proxied for proxied in environment.upstreams if proxied.pool == pool]
    affected = rng.sample(members, rng.randint(min(1, len(members)), len(members)))
    is_counted_down = rng.random() < 0.5
    for _ in range(rng.randint(1, MAX_COLD_STARTS)):
        seconds = rng.choice(COLD_SECONDS)
        for upstream in affected:
            environment.start_cold(upstream, seconds)
            environment.record_change("turned_cold", f"{upstream.fake.name} {seconds}")
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            eventlet.sleep(min(ENTRY_INTERVAL_SECONDS, ends_at - time.monotonic()))
            if is_counted_down:
                write_entries(environment, affected)
        write_entries(environment, affected)
        eventlet.sleep(MAX_WARM_SECONDS * rng.random())


def write_entries(environment, upstreams):
    """Write the entries of upstreams with what is left of their cold start."""
    for upstream in upstreams:
        is_draining = upstream.fake.name in environment.draining_names
        environment.write_upstream(upstream, draining=is_draining)


def join_cold(run):
    """Replace some upstreams by new instances that are cold."""
    rng, environment = run.series_rng, run.environment
    began_at = time.monotonic()
    names = []
    seconds = rng.choice(COLD_SECONDS)
    affected = rng.sample(environment.upstreams, rng.randint(1, 3))
    for upstream in affected:
        names.append(upstream.fake.name)
        environment.replace(upstream, upstream.pool, seconds)
        names.append(upstream.fake.name)
        environment.record_change("joined_cold", f"{upstream.fake.name} {seconds}")
    faults.record_disturbance(run, "replace_upstream", names, began_at)
    eventlet.sleep(seconds)
    write_entries(environment, affected)


def send_volleys(run):
    """Send a request on each route to each host in the same moment, and again."""
    for _ in range(run.series_rng.randint(1, MAX_VOLLEYS)):
        run.volley_count += 1
        for host in run.hosts:
            name = f"s{run.seed}v{run.volley_count}.{host.name}"
            eventlet.spawn(
                callers.send_one_per_route,
                callers.Caller(name, host.zone, [host], run.ports, random.Random(name)),
                run.environment,
                environments.expected_body,
                run.records,
            )
        eventlet.sleep(VOLLEY_INTERVAL_SECONDS)


def overlap_faults(run):
    """Inject some faults shortly after one another."""
    rng = run.series_rng
    tasks = []
    for _ in range(rng.randint(*SERIES_LENGTH_RANGE)):
        tasks.append(eventlet.spawn(rng.choice(OVERLAPPING_FAULTS), run))
        eventlet.sleep(rng.uniform(*SERIES_GAP_SECONDS_RANGE))
    for task in tasks:
        task.wait()


OVERLAPPING_FAULTS = (
    faults.kill,
    faults.stop,
    faults.pause,
    faults.reload,
    faults.move_route,
    faults.replace_upstream,
    turn_cold,
    send_volleys,
)
SERIES_FAULTS = (
    faults.Fault("turn_cold", turn_cold, 4),
    faults.Fault("join_cold", join_cold, 2),
    faults.Fault("send_volleys", send_volleys, 4),
    faults.Fault("overlap_faults", overlap_faults, 2),
)


def inject_series(run, end_at):
    """Inject the faults of this module until a time; return once all have ended."""
    faults.inject_faults(run, end_at, SERIES_FAULTS, run.series_rng)
