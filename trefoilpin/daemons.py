"""One host's daemon: its services put together in order, and its life."""

import logging
import secrets
import signal

import eventlet
import eventlet.event

from trefoilpin import (
    admin,
    attempts,
    balancers,
    checks,
    clocks,
    codecs,
    configurations,
    coordinators,
    drains,
    events,
    forwarders,
    frontends,
    health,
    keys,
    limits,
    memberships,
    metrics,
    notices,
    operations,
    peers,
    proxies,
    queues,
    routes,
    slow_starts,
    snapshots,
    standings,
    stores,
    take_overs,
    tickets,
)
from trefoilpin.kernel import create_kernel
from trefoilpin.records import Host

__all__ = ["assemble", "run"]

INCARNATION_BYTES = 8


def create_own_host(settings):
    """Return this start of the daemon as a host of the fleet."""
    return Host(
        secrets.token_hex(INCARNATION_BYTES),
        settings["host.name"],
        settings["host.zone"],
        settings["host.region"],
        settings["host.caller_address"],
        settings["host.peer_address"],
    )


def assemble(settings, kernel=None, write_log=None):
    """Create every service of one host.

    Parameters
    ----------
    settings : dict
        Checked settings by name.
    kernel : Kernel, optional
        A new one with the system's clock by default.
    write_log : callable, optional
        Takes finished log lines in place of standard error.

    Returns
    -------
    Kernel
        Not started yet.
    """
    if kernel is None:
        kernel = create_kernel(clocks.system_clock(eventlet.sleep), eventlet.spawn)
    events.create(kernel, settings["log.format"], settings["log.sample"], write_log)
    metrics.create(kernel)
    stores.create(
        kernel,
        settings["store.addresses"],
        settings["store.timeout_seconds"],
        settings["store.calls_per_second"],
        settings["store.call_burst"],
    )
    configurations.create(kernel)
    own = create_own_host(settings)
    peers.create(kernel, own.peer_address, settings["peers.secret"], own.incarnation)
    notices.create(kernel, own.incarnation)
    memberships.create(kernel, own, settings["peers.seeds"])
    snapshots.create(
        kernel,
        snapshots.SnapshotCodec(
            codecs.encode_ticket_text,
            codecs.decode_ticket_text,
            codecs.encode_versions,
            codecs.decode_versions,
        ),
    )
    tickets.create(kernel, checks.check)
    routes.create(kernel)
    keys.create(kernel)
    limits.create(kernel)
    operations.create(kernel)
    queues.create(kernel)
    drains.create(kernel)
    standings.create(kernel)
    slow_starts.create(kernel, memberships.FRESH_SECONDS)
    attempts.create(kernel)
    coordinators.create(kernel)
    health.create(kernel)
    take_overs.create(kernel)
    balancers.create(kernel)
    forwarders.create(kernel, settings["proxy.max_buffered_answer_bytes"])
    proxies.create(kernel)
    frontends.create(
        kernel,
        settings["host.caller_address"],
        settings["proxy.max_connections"],
        settings["proxy.idle_seconds"],
        settings["proxy.max_body_bytes"],
    )
    admin.create(kernel, settings["host.admin_address"])
    return kernel


def run(settings):
    """Run the daemon until it is told to stop.

    Parameters
    ----------
    settings : dict
        Checked settings by name.
    """
    logging.basicConfig(level=settings["log.level"].upper())
    kernel = assemble(settings)
    emit = kernel.find("events").emit
    stopping = eventlet.event.Event()

    def request_stop(number, frame):
        if not stopping.ready():
            eventlet.spawn_after(0, stopping.send)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    kernel.start()
    name, zone = settings["host.name"], settings["host.zone"]
    emit(events.DAEMON_STARTED, host=name, zone=zone)
    stopping.wait()
    emit(events.DAEMON_STOPPED, host=name)
    kernel.stop()
