"""The daemon of one host: creation of its services, start and shutdown."""

import gc
import logging
import secrets
import signal

import eventlet
import eventlet.event

from trefoilpin import (
    addresses,
    admin,
    answers,
    attempts,
    balancers,
    checks,
    claim_codecs,
    claims,
    clocks,
    codecs,
    configurations,
    coordinator_handovers,
    coordinators,
    departed_hosts,
    drains,
    events,
    forwarders,
    frontends,
    health,
    issuers,
    keys,
    limits,
    logs,
    memberships,
    metrics,
    notices,
    opaque_keys,
    operations,
    peers,
    poison_requests,
    proxies,
    queues,
    quota_owners,
    retries,
    routes,
    shutdowns,
    slow_starts,
    snapshots,
    stores,
    table_transfers,
    tickets,
    unit_holdings,
    unit_lenders,
    upstream_states,
)
from trefoilpin.kernel import create_kernel
from trefoilpin.limit_messages import LimitDurations
from trefoilpin.records import Host

__all__ = ["assemble", "run"]

INCARNATION_BYTES = 8
NOTICE_PROPAGATION_SECONDS = 3.0
GC_THRESHOLDS = (5_000, 20, 100)


def create_own_host(settings):
    """Return the host record of this start of the daemon."""
    return Host(
        secrets.token_hex(INCARNATION_BYTES),
        settings["host.name"],
        settings["host.zone"],
        settings["host.region"],
        settings["host.caller_address"],
        settings["host.peer_address"],
    )


def create_limits(kernel, settings):
    """Create the services that enforce the rate limits of accounts."""
    durations = LimitDurations(
        loan_seconds=settings["limits.loan_seconds"],
        reservation_seconds=settings["limits.reservation_seconds"],
    )
    holdings = unit_holdings.create(
        kernel, durations, settings["limits.units"], settings["limits.holders"]
    )
    kernel.find("shutdowns").on_hand_over("units", holdings.hand_over)
    unit_lenders.create(kernel, durations)
    quota_owners.create(kernel, durations)
    limits.create(
        kernel, durations, eventlet.event.Event, settings["limits.wait_seconds"]
    )


def create_operations(kernel, settings):
    """Create the services that execute operations at most once."""
    bounds = issuers.IssuerBounds(
        settings["operations.max_keys"],
        settings["operations.max_adopted_keys"],
        answers.AnswerBounds(
            settings["operations.max_answer_bytes"],
            settings["operations.max_saved_bytes"],
            settings["operations.saved_seconds"],
        ),
    )
    opaque_bounds = opaque_keys.OpaqueBounds(
        settings["operations.store_calls_per_second"], settings["operations.claim_days"]
    )
    hand_over_timeout = settings["operations.hand_over_seconds"]
    departed_hosts.create(kernel, settings["operations.gone_seconds"])
    issuers.create(kernel, bounds)
    table_transfers.create(kernel, bounds, hand_over_timeout)
    claims.create(kernel)
    opaque_keys.create(kernel, opaque_bounds, claim_codecs.encode, claim_codecs.decode)
    service = operations.create(kernel, bounds.answers.max_bytes, hand_over_timeout)
    kernel.find("shutdowns").on_hand_over("operations", service.hand_over)


def register_fleet_gauges(kernel):
    """Register metrics of the membership, gossip traffic and configuration."""
    gauge = kernel.find("metrics").gauge
    peers_service = kernel.find("peers")
    view = kernel.find("memberships")
    gauge("peer_bytes_sent", lambda: peers_service.traffic()[0])
    gauge("peer_bytes_received", lambda: peers_service.traffic()[1])
    gauge("hosts_live", lambda: len(view.live()))
    gauge("hosts_on_roster", lambda: len(view.roster()))
    gauge("host_is_current", lambda: int(view.is_current()))
    gauge("store_age_seconds", view.store_age)
    gauge("ticket_in_force", kernel.find("configurations").head)


def create_fleet(kernel, settings):
    """Create the services for membership, communication and configuration."""
    own = create_own_host(settings)
    configurations.create(kernel)
    peers.create(kernel, own.peer_address, settings["peers.secret"], own.incarnation)
    notices.create(kernel, own.incarnation)
    memberships.create(kernel, own, settings["peers.seeds"])
    codec = snapshots.SnapshotCodec(
        codecs.encode_ticket_text,
        codecs.decode_ticket_text,
        codecs.encode_versions,
        codecs.decode_versions,
    )
    snapshots.create(kernel, codec)
    tickets.create(kernel, checks.check)
    shutdowns.create(
        kernel,
        max(
            settings["shutdown.drain_seconds"],
            settings["shutdown.address_lifetime_seconds"] + NOTICE_PROPAGATION_SECONDS,
        ),
        settings["shutdown.spread_reconnects"],
    )


def create_upstreams(kernel):
    """Create the services that monitor and choose upstreams."""
    drains.create(kernel)
    upstream_states.create(kernel)
    slow_starts.create(kernel, memberships.MAX_FRESH_AGE_SECONDS)
    attempts.create(kernel)
    coordinators.create(kernel)
    health.create(kernel)
    coordinator_handovers.create(kernel)
    balancers.create(kernel)


def create_front_ends(kernel, settings):
    """Create the HTTP front ends for callers and operators."""
    frontends.create(
        kernel,
        settings["host.caller_address"],
        settings["proxy.max_connections"],
        settings["proxy.idle_seconds"],
        settings["proxy.max_body_bytes"],
    )
    admin.create(
        kernel, settings["host.admin_address"], settings["host.accepts_faults"]
    )


def assemble(settings, kernel=None, write_log=None):
    """Create every service of one host.

    Parameters
    ----------
    settings : dict
        Validated settings by name.
    kernel : Kernel, optional
        A new one with the system clock by default.
    write_log : callable, optional
        Receives formatted log lines, which go to standard error by default.

    Returns
    -------
    Kernel
        Not started yet.
    """
    if kernel is None:
        kernel = create_kernel(clocks.system_clock(eventlet.sleep), eventlet.spawn)
    logs.create(kernel, settings["log.format"], settings["log.sample"], write_log)
    metrics.create(kernel)
    stores.create(
        kernel,
        settings["store.addresses"],
        settings["store.timeout_seconds"],
        settings["store.calls_per_second"],
        settings["store.call_burst"],
    )
    create_fleet(kernel, settings)
    register_fleet_gauges(kernel)
    routes.create(kernel)
    keys.create(kernel)
    create_limits(kernel, settings)
    create_operations(kernel, settings)
    addresses.create(kernel, settings["shutdown.address_lifetime_seconds"])
    queues.create(kernel, eventlet.event.Event, settings["queues.max_waiting"])
    create_upstreams(kernel)
    forwarders.create(
        kernel, forwarders.ForwarderBounds(settings["proxy.max_buffered_answer_bytes"])
    )
    poison_requests.create(kernel, settings["quarantine.seconds"])
    retries.create(
        kernel, settings["retries.share"], settings["retries.least_per_second"]
    )
    proxies.create(kernel)
    create_front_ends(kernel, settings)
    return kernel


def tune_garbage_collector():
    """Reduce pauses of requests by the garbage collector.

    Objects that exist after the start are never scanned again, and young objects are
    scanned only once in several hundred requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run(settings):
    """Run the daemon until it receives SIGTERM or SIGINT, then shut down gracefully.

    Parameters
    ----------
    settings : dict
        Validated settings by name.
    """
    logging.basicConfig(level=settings["log.level"].upper())
    kernel = assemble(settings)
    emit = kernel.find("events").emit
    stopping = eventlet.event.Event()
    signals = []

    def request_stop(number, frame):
        if not signals:
            eventlet.spawn_after(0, stopping.send)
        signals.append(number)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    kernel.start()
    tune_garbage_collector()
    name, zone = settings["host.name"], settings["host.zone"]
    emit(events.DAEMON_STARTED, host=name, zone=zone)
    stopping.wait()
    kernel.find("shutdowns").stop()
    emit(events.DAEMON_STOPPED, host=name)
    kernel.stop()
