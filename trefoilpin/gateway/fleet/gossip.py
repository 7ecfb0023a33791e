"""Gossip between the hosts: one sending task for each target host.

The roles decide who sends to whom. Every host sends heartbeats to the relays of its
zone. A relay sends member records and documents to the hosts of its zone and to the
other relays, at once after a change. The hosts that send requests to upstreams exchange
outcomes, in-flight counts and admitted requests with each other. A host with few
requests sends the outcomes of those to the hosts of its zone that send many. Gossip
messages are datagrams; the next message repeats whatever was lost.
"""

from functools import partial
from typing import Callable, NamedTuple

from trefoilpin.gateway.fleet import discovery, grant_exchanges
from trefoilpin.gateway.fleet.messages import aged
from trefoilpin.gateway.fleet.roles import NO_ROLES, compute_roles
from trefoilpin.gateway.loops import repeat

__all__ = ["GossipSettings", "Gossip", "create"]

ROLE_UPDATE_SECONDS = 0.2
HEARTBEAT_PERIOD_SECONDS = 0.4
# Between hosts that send requests to upstreams. Traffic within a zone is free; hosts of
# other zones are sent less data at a longer period.
ZONE_PERIOD_SECONDS = 0.1
CROSS_ZONE_PERIOD_SECONDS = 0.4
# Some milliseconds of latency, plus the time in the queue of a small link.
MAX_TRANSIT_SECONDS = 0.05
# Outcomes within this time are sent in one message.
BATCH_SECONDS = 0.015
# A host that contacted this one before it had a configuration is still sent one within
# this time; after that it makes contact again.
MAX_REPLY_DELAY_SECONDS = 1.0
# Most other hosts are known this long after the start, so that not every host reads the
# store. Seeds read at once and send what they read to the others.
STARTUP_DELAY_SECONDS = 0.8
# A running seed answers within milliseconds; without an answer a host reads the store.
SEED_TIMEOUT_SECONDS = 1.0
# Spread of that time, so that hosts that start together while the seeds are busy do not
# all read the store.
SEED_TIMEOUT_SPREAD_SECONDS = 1.5
# Purposes of gossip messages; at most one message per purpose and host is queued.
UPDATE, REPLY, OUTCOMES = "news", "reply", "outcomes"


class GossipSettings(NamedTuple):
    """Settings of the gossip.

    Attributes
    ----------
    seeds : callable
        Returns the IP addresses of the hosts to contact first.
    planned_senders : int
        Lower bound assumed for the number of hosts that send requests to upstreams.
    """

    seeds: Callable
    planned_senders: int


class Gossip(NamedTuple):
    """``gossip``: exchange of state between the hosts.

    ``receive(address, message, waited)`` processes a message that was in the receive
    queue for ``waited`` seconds. ``notify_all()`` sends updates to all targets now.
    ``reader_rank()`` is this host's position in the order of store readers, and
    ``startup_delay()`` the seconds after the start for which it leaves reading to the
    others. ``sender_count()`` is the number of hosts that send requests to upstreams,
    ``zone_sender_count()`` that of this zone, and ``is_sender()`` tells whether this
    host is one of them.
    ``share_read()`` sends the relays what this host has just read from the store.
    ``step()`` recomputes the roles; a task calls it. ``last_update_at()`` is when a
    regular sender last reported its document versions, and ``first_readers()`` are the
    addresses of the first other hosts in the order of store readers. Once most
    hosts are known, ``is_first_reader()`` tells whether this host is the first of all.
    """

    receive: Callable
    notify_all: Callable
    reader_rank: Callable
    startup_delay: Callable[[], float]
    sender_count: Callable
    zone_sender_count: Callable[[], int]
    is_sender: Callable[[], bool]
    share_read: Callable[[], None]
    step: Callable[[], None]
    last_update_at: Callable[[], float]
    first_readers: Callable[[], tuple[str, ...]]
    is_first_reader: Callable[[], bool]


class Peer:
    """A target host, and the state of the task that sends to it.

    Attributes
    ----------
    members_sent_at, views_sent_at : float
        When it was last sent member records that it lacks, and the views of all zones.
    digest_by_zone : dict
        Digests of its own views, as last reported by it.
    differs_since_by_zone : dict
        When such a digest was first seen to differ from this host's.
    sent_counts : tuple of dict
        Counts of admitted requests at the last message but one, and at the last one.
    all_counts_sent_at : float
        When it was last sent the counts of all accounts.
    reports_sent_at : float
        When it was last sent reports of pools under pressure.
    """

    def __init__(self, host, create_event):
        self.address = host.address
        self.zone = host.zone
        self.in_mesh = False
        self.receives_documents = False
        self.is_relay = False
        self.is_target = True
        self.wake_event = create_event()
        self.members_sent_at = float("-inf")
        self.views_sent_at = float("-inf")
        self.digest_by_zone: dict[str, int] = {}
        self.differs_since_by_zone: dict[str, float] = {}
        self.sent_digest_by_kind: dict[str, int] = {}
        self.sent_counts: tuple[dict[str, int], dict[str, int]] = ({}, {})
        self.all_counts_sent_at = float("-inf")
        self.reports_sent_at = float("-inf")


class GossipState:
    """Peers by address, and roles as last computed."""

    def __init__(self):
        self.peer_by_address: dict[str, Peer] = {}
        self.roles = NO_ROLES
        self.sender_count = 1
        self.last_update_at = float("-inf")
        self.is_reporting_outcomes = False
        self.request_by_address: dict[str, tuple[float, tuple]] = {}


def create(kernel, settings, create_event, send, rollouts=None):
    """Create the service ``gossip``.

    Parameters
    ----------
    kernel : Kernel
    settings : GossipSettings
    create_event : callable
        Creates an event with ``wait(timeout)``, ``send()`` and ``ready()``.
    send : callable
        ``send(address, message)`` sends a datagram and returns its size in bytes.
    rollouts : Rollouts, optional

    Returns
    -------
    Gossip
    """
    state = GossipState()
    discover = discovery.create(kernel, settings.seeds, send)
    seed_timeout = (
        SEED_TIMEOUT_SECONDS + SEED_TIMEOUT_SPREAD_SECONDS * kernel.rng.random()
    )
    now, sleep = kernel.clock.now, kernel.clock.sleep
    document_fetchers = kernel.find("document_fetchers")
    send_queues = kernel.find("send_queues")
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    upstreams = kernel.find("upstreams")
    rate_limits = kernel.find("rate_limits")
    poison_requests = kernel.find("poison_requests")
    account_usage = kernel.find("account_usage")
    departures = kernel.find("departures")
    cold_checks = kernel.find("cold_checks")
    cold_grants = kernel.find("cold_grants")
    queues = kernel.find("queues")
    pool_pressure = kernel.find("pool_pressure")
    gossip_builders = kernel.find("gossip_builders")
    build = gossip_builders.build
    own = members.own
    started_at = now()

    def receive(address, message, waited):
        if address == own.address:
            return
        age = waited + MAX_TRANSIT_SECONDS
        message = aged(message, age)
        is_zone_known = bool(members.relays(message.zone))
        is_new = members.record_message(address, message, age)
        for record in message.members:
            members.merge_record(record)
        receive_zone_views(address, message.zone_views)
        for document in message.documents:
            document_fetchers.receive_document(address, document)
        if message.versions and message.sends_regularly:
            state.last_update_at = now() - age
        document_fetchers.handle_versions(address, message.versions)
        is_same_zone = message.zone == own.zone
        poison_requests.merge_breaks(message.broken_requests, is_same_zone)
        poison_requests.merge_answers(message.answered_requests, is_same_zone)
        receive_departures(address, message)
        account_usage.merge(address, message.pool_reports, age)
        cold_checks.merge(message.cold_reports)
        host = (address, message.incarnation)
        is_sender = message.is_serving or bool(message.in_flight_by_upstream)
        upstreams.merge_outcomes(*host, message.outcomes, is_sender)
        if is_sender:
            upstreams.merge_in_flight(address, message.in_flight_by_upstream)
            rate_limits.merge_counts(*host, message.admitted_by_account)
            pool_pressure.merge_reports(address, message.pressure_reports)
            queues.wake()
        if rollouts is not None:
            rollouts.merge_records(message.rollout_stages)
            rollouts.merge_counts(host, message.zone, message.rollout_counts)
        exchanges.receive(address, message)
        if message.wants_reply:
            known = (message.versions, message.zone_views)
            state.request_by_address[address] = (now(), known)
            build_introduction = partial(gossip_builders.build_introduction, *known)
            send_queues.enqueue(address, REPLY, build_introduction)
        elif is_new and (message.zone == own.zone or not is_zone_known):
            # A new host of another zone hears of the others from its own zone.
            send_queues.enqueue(
                address, REPLY, lambda: build(records=gossip_builders.member_records())
            )

    def receive_departures(address, message):
        """Merge departures; those of hosts outside the mesh are passed on."""
        is_outside_mesh = address not in state.roles.mesh_hosts
        departures.merge(
            message.departures, message.zone == own.zone and is_outside_mesh
        )

    def receive_zone_views(address, zone_views):
        for view in zone_views:
            if view.ages:
                members.merge_zone_view(view)
        peer = state.peer_by_address.get(address)
        if peer is not None and zone_views:
            peer.digest_by_zone.update((view.zone, view.digest) for view in zone_views)

    def answer_waiting_hosts():
        """Send new documents to hosts that contacted this one before it had them."""
        for address, (requested_at, known) in list(state.request_by_address.items()):
            if now() - requested_at > MAX_REPLY_DELAY_SECONDS:
                del state.request_by_address[address]
                continue
            build_introduction = partial(gossip_builders.build_introduction, *known)
            send_queues.enqueue(address, REPLY, build_introduction)

    def send_period(peer):
        if not peer.in_mesh:
            return HEARTBEAT_PERIOD_SECONDS
        return (
            ZONE_PERIOD_SECONDS if peer.zone == own.zone else CROSS_ZONE_PERIOD_SECONDS
        )

    def send_updates(peer):
        """Send updates to a peer until it is no longer a target."""
        while peer.is_target:
            peer.wake_event.wait(send_period(peer) * (0.8 + 0.4 * kernel.rng.random()))
            if peer.wake_event.ready():
                sleep(BATCH_SECONDS)
            send_queues.enqueue(peer.address, UPDATE, lambda: build_update(peer))

    def build_update(peer):
        """Return an update; later changes wake the sending task again."""
        if peer.wake_event.ready():
            peer.wake_event = create_event()
        return gossip_builders.build_for_peer(peer)

    def update_roles():
        """Recompute the roles and the peers to send to."""
        roles = state.roles = compute_roles(members)
        state.sender_count = max(len(roles.mesh_hosts), settings.planned_senders)
        update_peers(roles.gossip_targets)
        for peer in state.peer_by_address.values():
            peer.in_mesh = roles.in_mesh and peer.address in roles.mesh_hosts
            is_same_zone = peer.zone == own.zone
            peer.is_relay = peer.address in roles.relays
            peer.receives_documents = roles.is_relay and (is_same_zone or peer.is_relay)
        discover(roles.is_relay)
        gossip_builders.start_admission_period()

    def update_peers(hosts):
        """Run one sending task for each target host, and no others."""
        for host in hosts:
            if host.address in state.peer_by_address:
                continue
            peer = Peer(host, create_event)
            state.peer_by_address[host.address] = peer
            kernel.spawn(send_updates, peer)
        addresses = {host.address for host in hosts}
        members.expect_heartbeats(addresses)
        for address in list(state.peer_by_address):
            if address in addresses:
                continue
            state.peer_by_address.pop(address).is_target = False
            # Ends the regular sending, so that the peer does not suspect this host.
            send(address, build(with_versions=False))

    def step():
        update_roles()
        upstreams.check_overdue()
        queues.wake()
        if members.tick(ROLE_UPDATE_SECONDS) and state.roles.is_relay:
            gossip_builders.drop_member_records()
            notify_all()

    def start():
        kernel.spawn(repeat, sleep, lambda: ROLE_UPDATE_SECONDS, step)

    def notify_all():
        """Send updates to all peers now, first to the relays that forward them."""
        relays = state.roles.relays
        peers = state.peer_by_address.values()
        for peer in sorted(peers, key=lambda peer: peer.address not in relays):
            if not peer.wake_event.ready():
                peer.wake_event.send()

    def wake_zone_peers():
        for peer in state.peer_by_address.values():
            is_zone_peer = peer.in_mesh and peer.zone == own.zone
            if is_zone_peer and not peer.wake_event.ready():
                peer.wake_event.send()

    def on_outcome(is_urgent):
        if state.roles.in_mesh:
            if is_urgent:
                wake_zone_peers()
        elif not state.is_reporting_outcomes:
            state.is_reporting_outcomes = True
            kernel.spawn(report_outcomes)

    def report_outcomes():
        """Send outcomes of this host to those of its zone that send most requests."""
        sleep(BATCH_SECONDS)
        state.is_reporting_outcomes = False
        for address in state.roles.zone_mesh_hosts:
            # A relay that is sent heartbeats goes on expecting them.
            is_peer = address in state.peer_by_address
            build_outcomes = partial(gossip_builders.build_outcomes, is_peer)
            send_queues.enqueue(address, OUTCOMES, build_outcomes)

    def startup_delay():
        if own.address in settings.seeds():
            return 0.0
        return seed_timeout if len(members.live()) == 1 else STARTUP_DELAY_SECONDS

    def is_first_reader():
        settled_at = started_at + max(startup_delay(), STARTUP_DELAY_SECONDS)
        return state.roles.rank == 0 and now() >= settled_at

    def share_read():
        """Send what this host has read from the store to the relays of its zone.

        A host that is no relay reads only when it has had no update for long. The
        relays forward the documents to all other hosts.
        """
        if state.roles.is_relay:
            return
        for address in list(state.peer_by_address):
            if address in state.roles.relays:
                send(address, build())

    def on_new_document(value):
        answer_waiting_hosts()
        if state.roles.is_relay:
            notify_all()

    for kind in document_cache.kinds:
        document_cache.subscribe(kind, on_new_document)
    upstreams.on_outcome(on_outcome)
    departures.on_recorded(lambda: on_outcome(True))
    if rollouts is not None:
        rollouts.subscribe(lambda: state.roles.is_relay and notify_all())
    service = Gossip(
        receive,
        notify_all,
        lambda: state.roles.rank,
        startup_delay,
        lambda: state.sender_count,
        lambda: len(state.roles.zone_mesh_hosts) + 1,
        lambda: state.roles.in_mesh,
        share_read,
        step,
        lambda: state.last_update_at,
        lambda: state.roles.first_readers,
        is_first_reader,
    )
    exchanges = grant_exchanges.create(
        kernel,
        service,
        lambda address: address in state.peer_by_address,
        grant_exchanges.list_kinds(kernel),
    )
    cold_grants.on_granted(queues.wake)
    kernel.register("gossip", service, start)
    return service
