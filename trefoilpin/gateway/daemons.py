"""Assembly and main loop of one gateway host."""

import gc
import logging
import signal
from typing import Any, Callable, NamedTuple

import eventlet
import eventlet.event

from trefoilpin import clocks, events, forwarders, logs, metrics, retries
from trefoilpin.dialects import Dialect
from trefoilpin.gateway import (
    anti_entropy,
    directories,
    dispatchers,
    document_cache,
    document_fetchers,
    documents,
    frontends,
    gossip,
    gossip_builders,
    loops,
    members,
    monitors,
    poison_requests,
    proxies,
    queues,
    rate_limits,
    routing,
    send_queues,
    shutdowns,
    store_readers,
    transports,
    upstreams,
)
from trefoilpin.kernel import create_kernel

__all__ = ["Adapter", "GatewaySettings", "assemble", "run"]

MAX_BUFFERED_BYTES = 1_048_576
# A path between hosts and upstreams takes milliseconds; a lost first packet is sent
# again after a second only, and another upstream is asked sooner.
CONNECT_SECONDS = 0.3
MAX_IDLE_SECONDS = 9.0
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 4.0
# Part of the fleet's retry budget that is used; the rest covers late counts.
USED_BUDGET = 0.75
COLLECTOR_THRESHOLDS = (5_000, 20, 100)
MAX_ROUTINE_LINES_PER_SECOND = 200


class GatewaySettings(NamedTuple):
    """What a deployment tells one host.

    Attributes
    ----------
    name : str
    own : OwnHost
    addresses : frontends.Addresses
    peer_port, control_port : int
        The same on every host.
    seeds : tuple of str
        IP numbers of hosts to ask first.
    zones : tuple of str
    is_first_start : bool
        True only when the whole system starts for the first time.
    key_seconds : float
        Age of the configuration from which keys are not trusted.
    grace : float
        Seconds between the signal to stop and the kill.
    retry_share, retry_slack, retry_window : float
        Retries allowed for each request, and beyond that in a window of seconds.
    rate_window : float
        Seconds over which an account's requests are counted against its rate.
    link_rate : float
        Bytes a second that the host's link carries.
    """

    name: str
    own: members.OwnHost
    addresses: frontends.Addresses
    peer_port: int
    control_port: int
    seeds: tuple[str, ...]
    zones: tuple[str, ...]
    is_first_start: bool
    key_seconds: float
    grace: float
    retry_share: float
    retry_slack: float
    retry_window: float
    rate_window: float
    link_rate: float


class Adapter(NamedTuple):
    """What speaks a platform's words.

    Attributes
    ----------
    load_settings : callable
        Gives a ``Result`` with ``GatewaySettings``.
    create_store : callable
        ``create_store(kernel)`` registers the service ``store``.
    split : callable
        See ``store_readers.create``.
    decode_by_kind : callable
        ``decode_by_kind(emit)`` gives the decoders of ``document_cache``.
    dialect : Dialect
    account_header, expected_header : str
    encode_addresses : callable
    """

    load_settings: Callable
    create_store: Callable
    split: Callable
    decode_by_kind: Callable
    dialect: Dialect
    account_header: str
    expected_header: str
    encode_addresses: Callable


def assemble(settings, adapter, kernel=None, write_log=None):
    """Create every service of one host.

    Parameters
    ----------
    settings : GatewaySettings
    adapter : Adapter
    kernel : Kernel, optional
    write_log : callable, optional

    Returns
    -------
    Kernel
        Not started yet.
    """
    if kernel is None:
        kernel = create_kernel(clocks.system_clock(eventlet.sleep), eventlet.spawn)
    emit = logs.create(
        kernel,
        "json",
        write=write_log or logs.write_standard_output,
        max_routine=MAX_ROUTINE_LINES_PER_SECOND,
    ).emit
    metrics.create(kernel)
    adapter.create_store(kernel)
    known = document_cache.create(kernel, adapter.decode_by_kind(emit))
    create_decisions(kernel, settings, known)
    peer_tasks = create_exchange(kernel, settings, adapter)
    create_request_path(kernel, settings, adapter)
    kernel.register("peer_tasks", peer_tasks, peer_tasks)
    return kernel


def create_decisions(kernel, settings, known):
    """Create what decides on hosts, rates and upstreams."""
    planned = len(settings.zones) * members.CALLER_HOSTS_PER_ZONE
    fleet = members.create(
        kernel, settings.own, lambda: known.age(document_cache.CONFIGURATION)
    )
    rate_terms = rate_limits.RateLimitSettings(
        settings.is_first_start,
        planned,
        settings.rate_window,
        settings.own.incarnation,
    )
    rate_limits.create(kernel, rate_terms, fleet.mesh_coverage)
    poison_requests.create(kernel)
    queues.create(kernel, eventlet.event.Event)
    retries.create(
        kernel,
        settings.retry_share * USED_BUDGET,
        settings.retry_slack * USED_BUDGET / settings.retry_window / planned,
        max(settings.retry_slack * USED_BUDGET / planned, 1.0),
    )
    upstreams.create(
        kernel,
        settings.own.zone,
        lambda: kernel.find("gossip").sender_count(),
    )


def create_exchange(kernel, settings, adapter):
    """Create what reads the store and talks to the other hosts."""
    send, receive_forever, look = transports.open_datagrams(
        kernel, settings.own.address, settings.peer_port
    )
    planned = len(settings.zones) * members.CALLER_HOSTS_PER_ZONE
    send_queues.create(kernel, settings.link_rate, eventlet.event.Event, send)
    gossip_builders.create(kernel, documents.CODEC)
    fetch = transports.create_fetch(settings.control_port)
    document_fetchers.create(kernel, fetch, documents.CODEC)
    exchange = gossip.create(
        kernel,
        gossip.GossipSettings(lambda: settings.seeds, planned),
        eventlet.event.Event,
        send,
    )
    store_readers.create(
        kernel,
        documents.CODEC,
        adapter.split,
        exchange.reader_rank,
        exchange.startup_delay,
        exchange.share_read,
    )
    anti_entropy.create(kernel)
    monitors.create(kernel)

    def start():
        kernel.spawn(receive_forever, exchange.receive)
        kernel.spawn(
            loops.repeat, kernel.clock.sleep, lambda: transports.LOOK_SECONDS, look
        )

    return start


def create_request_path(kernel, settings, adapter):
    """Create what takes requests from callers to upstreams."""
    routing.create(kernel)
    bounds = forwarders.ForwarderBounds(
        MAX_BUFFERED_BYTES,
        CONNECT_SECONDS,
        MAX_IDLE_SECONDS,
        MAX_IDLE_NON_IDEMPOTENT_SECONDS,
    )
    forwarders.create(kernel, bounds, adapter.dialect)
    terms = dispatchers.DispatchSettings(
        settings.key_seconds, adapter.account_header, adapter.expected_header
    )
    dispatchers.create(kernel, terms, eventlet.event.Event)
    proxies.create(kernel)
    directories.create(kernel)
    frontends.create(
        kernel, settings.addresses, adapter.dialect, adapter.encode_addresses
    )
    shutdowns.create(kernel, settings.grace)


def collect_rarely():
    """Keep the garbage collector from pausing requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def run(adapter):
    """Run one host until it is told to stop.

    Parameters
    ----------
    adapter : Adapter

    Raises
    ------
    SystemExit
        When the settings can't be used.
    """
    logging.basicConfig(level=logging.INFO)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    loaded = adapter.load_settings()
    settings: Any = loaded.value_or(None)
    if settings is None:
        raise SystemExit(f"trefoilpin: {loaded.failure()}")
    kernel = assemble(settings, adapter)
    emit = kernel.find("events").emit
    stopping = eventlet.event.Event()
    signals = []

    def request_stop(number, frame):
        if not signals:
            eventlet.spawn_after(0, stopping.send)
        signals.append(signal.Signals(number).name)

    def request_reload(number, frame):
        eventlet.spawn_after(0, reload_settings, adapter, settings, emit)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    signal.signal(signal.SIGHUP, request_reload)
    kernel.start()
    collect_rarely()
    own = settings.own
    emit(
        events.GATEWAY_STARTED,
        host=settings.name,
        zone=own.zone,
        incarnation=own.incarnation,
    )
    stopping.wait()
    kernel.find("shutdowns").stop(signals[0])
    kernel.find("events").flush()


def reload_settings(adapter, settings, emit):
    """Read the settings file again and tell what differs."""
    loaded = adapter.load_settings()
    fresh = loaded.value_or(None)
    if fresh is None:
        emit(events.SETTINGS_REFUSED, detail=str(loaded.failure()))
        return
    changed = []
    for name, before, after in zip(settings._fields, settings, fresh):
        if name != "own" and before != after:
            changed.append(name)
    emit(events.SETTINGS_RELOADED, changed=",".join(changed) or None)
