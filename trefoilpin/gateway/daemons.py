"""Assembly and main loop of one gateway host."""

import gc
import logging
import signal
from typing import Any, Callable, NamedTuple

import eventlet
import eventlet.event

from trefoilpin import (
    clocks,
    events,
    forwarders,
    health_probes,
    logs,
    metrics,
)
from trefoilpin.dialects import Dialect
from trefoilpin.gateway import loops, monitors, shutdowns
from trefoilpin.gateway.admission import (
    account_usage,
    body_memory,
    poison_requests,
    pool_pressure,
    queues,
    rate_limits,
    response_memory,
    retry_budgets,
    send_pacing,
)
from trefoilpin.gateway.balancing import cold_checks, cold_grants, upstreams
from trefoilpin.gateway.fleet import (
    anti_entropy,
    directories,
    document_fetchers,
    gossip,
    gossip_builders,
    members,
    send_queues,
    transports,
)
from trefoilpin.gateway.requests import (
    dispatchers,
    first_documents,
    frontends,
    health_checks,
    proxies,
    routing,
)
from trefoilpin.gateway.rollouts import coordinators, rollouts
from trefoilpin.gateway.rollouts.decisions import RolloutBounds
from trefoilpin.gateway.store import document_cache, documents, leases, store_readers
from trefoilpin.kernel import create_kernel

__all__ = ["Adapter", "GatewaySettings", "assemble", "run"]

MAX_BUFFERED_BYTES = 1_048_576
DEFAULT_HELD_BYTES = 105_000_000
# A round trip to an upstream takes milliseconds, but a lost first packet is only resent
# after 1 s; another upstream is tried before that.
CONNECT_TIMEOUT_SECONDS = 0.3
MAX_IDLE_SECONDS = 9.0
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 4.0
# Share of the retries that no request pays for; the rest covers hosts that are
# suspended between the withdrawal and the sending of one.
RETRY_SLACK_SHARE = 0.9
GC_THRESHOLDS = (5_000, 20, 100)
MAX_ROUTINE_LINES_PER_SECOND = 200


class GatewaySettings(NamedTuple):
    """Settings of one host.

    Attributes
    ----------
    name : str
    own : OwnHost
    addresses : frontends.Addresses
    peer_port, control_port : int
        The same on every host.
    seeds : tuple of str
        IP addresses of the hosts to contact first.
    zones : tuple of str
    is_first_start : bool
        True only at the first start of the whole system.
    key_seconds : float
        Age of the configuration in seconds from which keys are not trusted.
    grace : float
        Seconds from the signal to stop until the process is killed.
    retry_share, retry_slack, retry_window : float
        Retries allowed per request, and further ones allowed in a window in seconds.
    rate_window : float
        Seconds over which an account's requests are counted against its rate.
    link_rate : float
        Bandwidth of the host's link in bytes per second.
    body_bytes : int
        Memory for the bodies of requests.
    descriptors : int
        Limit of the process on open files and sockets.
    heartbeat_seconds : float
        Period in which upstreams renew their entries in the store.
    held_bytes : int
        Memory for what is held for slow callers and upstreams, with bodies of requests.
    paces_sends : bool
        Whether sends to a pool that sheds as a whole are paced.
    rollout_bounds : RolloutBounds or None
        None where no rollouts are ordered; their orders are not read then.
    cold_bounds : ColdBounds
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
    body_bytes: int
    descriptors: int
    heartbeat_seconds: float = document_cache.HEARTBEAT_SECONDS
    held_bytes: int = DEFAULT_HELD_BYTES
    paces_sends: bool = False
    rollout_bounds: RolloutBounds | None = None
    cold_bounds: cold_grants.ColdBounds = cold_grants.DEFAULT_BOUNDS


class Adapter(NamedTuple):
    """Functions and headers that adapt the gateway to a platform.

    Attributes
    ----------
    load_settings : callable
        Returns a ``Result`` with ``GatewaySettings``.
    create_store : callable
        ``create_store(kernel)`` registers the service ``store``.
    parse_object : callable
        See ``store_readers.create``.
    decode_by_kind : callable
        ``decode_by_kind(emit, reads_rollouts)`` returns the decoders of
        ``document_cache``.
    dialect : Dialect
    account_header, expected_header : str
    encode_addresses : callable
    read_cold_seconds : callable or None
        See ``health_probes.create``; None where upstreams can't be asked.
    """

    load_settings: Callable
    create_store: Callable
    parse_object: Callable
    decode_by_kind: Callable
    dialect: Dialect
    account_header: str
    expected_header: str
    encode_addresses: Callable
    read_cold_seconds: Callable | None = None


def assemble(settings, adapter, kernel=None, write_log=None):
    """Create all services of one host.

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
    has_rollouts = settings.rollout_bounds is not None
    decoders = adapter.decode_by_kind(emit, has_rollouts)
    cache = document_cache.create(kernel, decoders, settings.heartbeat_seconds)
    create_local_services(kernel, settings, cache)
    versions = rollouts.create(kernel, settings.own) if has_rollouts else None
    peer_tasks = create_peer_services(kernel, settings, adapter, versions)
    create_request_services(kernel, settings, adapter, versions)
    kernel.register("peer_tasks", peer_tasks, peer_tasks)
    return kernel


def create_local_services(kernel, settings, cache):
    """Create the services for membership, rates, queues, retries and upstreams."""
    planned_senders = len(settings.zones) * members.CALLER_HOSTS_PER_ZONE
    membership = members.create(
        kernel, settings.own, lambda: cache.age(document_cache.CONFIGURATION)
    )
    rate_settings = rate_limits.RateLimitSettings(
        settings.is_first_start,
        planned_senders,
        settings.rate_window,
        settings.own.incarnation,
    )
    rate_limits.create(kernel, rate_settings, membership.mesh_coverage)
    poison_requests.create(kernel)
    account_usage.create(kernel)
    pool_pressure.create(kernel)
    send_pacing.create(kernel, settings.paces_sends)
    queues.create(kernel, eventlet.event.Event)
    retry_bounds = retry_budgets.RetryBounds(
        settings.retry_share,
        settings.retry_slack * RETRY_SLACK_SHARE,
        settings.retry_window,
    )
    retry_budgets.create(kernel, retry_bounds, eventlet.event.Event)
    upstreams.create(
        kernel,
        settings.own.zone,
        lambda: kernel.find("gossip").sender_count(),
        lambda: kernel.find("gossip").is_sender(),
        lambda: kernel.find("gossip").zone_sender_count(),
        cold_checks.create(
            kernel,
            settings.own.zone,
            membership.is_store_away,
            lambda: kernel.find("gossip").is_sender(),
            membership.known_hosts,
        ),
        settings.cold_bounds,
    )


def create_peer_services(kernel, settings, adapter, versions):
    """Create the services that read the store and exchange state with other hosts."""
    send, receive_forever, check_queue = transports.open_datagrams(
        kernel,
        settings.own.address,
        settings.peer_port,
        kernel.find("members").is_other_zone,
    )
    planned_senders = len(settings.zones) * members.CALLER_HOSTS_PER_ZONE
    send_queues.create(kernel, settings.link_rate, eventlet.event.Event, send)
    gossip_builders.create(kernel, documents.CODEC, versions)
    fetch = transports.create_fetch(settings.control_port)
    document_fetchers.create(kernel, fetch, documents.CODEC)
    gossip_service = gossip.create(
        kernel,
        gossip.GossipSettings(lambda: settings.seeds, planned_senders),
        eventlet.event.Event,
        send,
        versions,
    )
    store_readers.create(
        kernel,
        documents.CODEC,
        adapter.parse_object,
        gossip_service.reader_rank,
        gossip_service.startup_delay,
        gossip_service.share_read,
    )
    anti_entropy.create(kernel)
    leases.create(
        kernel,
        leases.LeaseHolder(settings.own.address, settings.own.incarnation),
        gossip_service.is_first_reader,
        settings.is_first_start,
        kernel.find("retry_budgets").handover,
    )
    if settings.rollout_bounds is not None:
        coordinators.create(
            kernel,
            settings.rollout_bounds,
            gossip_service.reader_rank,
            gossip_service.startup_delay,
        )
    monitors.create(kernel)

    def start():
        kernel.spawn(receive_forever, gossip_service.receive)
        kernel.spawn(
            loops.repeat,
            kernel.clock.sleep,
            lambda: transports.QUEUE_CHECK_INTERVAL_SECONDS,
            check_queue,
        )

    return start


def create_request_services(kernel, settings, adapter, versions):
    """Create the services that handle requests of callers."""
    routing.create(kernel)
    bounds = forwarders.ForwarderBounds(
        MAX_BUFFERED_BYTES,
        CONNECT_TIMEOUT_SECONDS,
        MAX_IDLE_SECONDS,
        MAX_IDLE_NON_IDEMPOTENT_SECONDS,
    )
    body_memory.create(kernel, settings.body_bytes)
    memory = response_memory.create(kernel, settings.held_bytes)
    forwarders.create(kernel, bounds, adapter.dialect, memory)
    dispatch_settings = dispatchers.DispatchSettings(
        settings.key_seconds, adapter.account_header, adapter.expected_header
    )
    dispatchers.create(kernel, dispatch_settings, eventlet.event.Event, versions)
    if adapter.read_cold_seconds is not None:
        health_probes.create(kernel, adapter.read_cold_seconds)
        health_checks.create(kernel)
    first_documents.create(kernel, eventlet.event.Event)
    proxies.create(kernel)
    directories.create(kernel)
    frontends.create(
        kernel,
        settings.addresses,
        adapter.dialect,
        adapter.encode_addresses,
        settings.descriptors,
    )
    shutdowns.create(kernel, settings.grace)


def tune_garbage_collector():
    """Make collections rarer, as each pauses all requests."""
    gc.collect()
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)


def run(adapter):
    """Run one host until it is signalled to stop.

    Parameters
    ----------
    adapter : Adapter

    Raises
    ------
    SystemExit
        When the settings are invalid.
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
        signals.append((signal.Signals(number).name, kernel.clock.now()))

    def request_reload(number, frame):
        eventlet.spawn_after(0, reload_settings, adapter, settings, emit)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    signal.signal(signal.SIGHUP, request_reload)
    kernel.start()
    tune_garbage_collector()
    own = settings.own
    emit(
        events.GATEWAY_STARTED,
        host=settings.name,
        zone=own.zone,
        incarnation=own.incarnation,
    )
    stopping.wait()
    kernel.find("shutdowns").stop(*signals[0])
    kernel.find("events").flush()


def reload_settings(adapter, settings, emit):
    """Read the settings file again and log which settings differ."""
    loaded = adapter.load_settings()
    reloaded = loaded.value_or(None)
    if reloaded is None:
        emit(events.SETTINGS_REFUSED, detail=str(loaded.failure()))
        return
    changed = []
    for name, before, after in zip(settings._fields, settings, reloaded):
        if name != "own" and before != after:
            changed.append(name)
    emit(events.SETTINGS_RELOADED, changed=",".join(changed) or None)
