"""Gossip between the hosts: one sending task for each target host.

The roles decide who sends to whom. Every host sends heartbeats to the relays of its
zone. A relay sends what it knows to the hosts of its zone and to the other relays, at
once when something changed. The hosts that send requests to upstreams exchange
outcomes, in-flight counts and admitted requests with each other. Gossip messages are
datagrams; whatever is lost is repeated by the next message.
"""

from functools import partial
from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION, KINDS
from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.messages import aged
from trefoilpin.gateway.roles import NO_ROLES, compute_roles

__all__ = ["GossipSettings", "Gossip", "create"]

ROLE_UPDATE_SECONDS = 0.2
ALIVE_SECONDS = 0.4
# Between hosts of one zone, where bytes cost nothing; those of another zone hear less,
# and less often.
NEAR_SECONDS = 0.1
FAR_SECONDS = 0.4
# Longest way of a gossip message: some milliseconds, and the queue of a small link.
TRANSIT_SECONDS = 0.05
# Outcomes of this time go out together.
GATHER_SECONDS = 0.015
SEED_SECONDS = 0.15
# Once others are known, seeds are asked ever more rarely.
MOST_SEED_SECONDS = 2.4
# The first seeds that answer may know few hosts: all have to ask again until those that
# start together know each other.
NEW_SECONDS = 5.0
# A host that asked while this one knew no configuration is told one that comes within
# this time; later it asks again.
ASKED_SECONDS = 1.0
# By this time after the start most other hosts are known, so that not all read; seeds
# read at once and tell the others.
SETTLE_SECONDS = 0.8
# A seed that runs answers within milliseconds; without any, a host reads by itself.
ALONE_SECONDS = 1.0
GOSSIP_SECONDS = 1.0
# Of what hosts tell a stranger each second; some tens a second for a seed at 460 hosts.
SEED_SHARE = 0.25
# Purposes of gossip messages; for each, one at a time waits for a host.
UPDATE, REPLY = "news", "reply"


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
    others. ``sender_count()`` is the number of hosts that send requests to upstreams.
    ``share_read()`` sends the relays what this host has just read from the store.
    ``step()`` recomputes the roles; a task calls it. ``last_update_at()`` is when a
    regular sender last reported its document versions, and ``first_readers()`` are the
    addresses of the first other hosts in the order of store readers.
    """

    receive: Callable
    notify_all: Callable
    reader_rank: Callable
    startup_delay: Callable[[], float]
    sender_count: Callable
    share_read: Callable[[], None]
    step: Callable[[], None]
    last_update_at: Callable[[], float]
    first_readers: Callable[[], tuple[str, ...]]


class Peer:
    """A target host, and the state of the task that sends to it."""

    def __init__(self, host, create_event):
        self.address = host.address
        self.zone = host.zone
        self.in_mesh = False
        self.receives_documents = False
        self.is_target = True
        self.wake_event = create_event()
        self.members_sent_at = float("-inf")
        self.sent_digest_by_kind: dict[str, int] = {}


class GossipState:
    """Peers by address, and roles as last computed."""

    def __init__(self):
        self.peer_by_address: dict[str, Peer] = {}
        self.roles = NO_ROLES
        self.sender_count = 1
        self.seeded_at = float("-inf")
        self.seed_pause = SEED_SECONDS
        self.seed_asks = 0
        self.gossiped_at = float("-inf")
        self.last_update_at = float("-inf")
        self.asked_by_host: dict[str, tuple[float, tuple]] = {}


def create(kernel, settings, create_event, send):
    """Create the service ``gossip``.

    Parameters
    ----------
    kernel : Kernel
    settings : GossipSettings
    create_event : callable
        Makes an event with ``wait(timeout)``, ``send()`` and ``ready()``.
    dispatch : callable
        ``send(address, message)`` sends a datagram and returns its size in bytes.

    Returns
    -------
    Gossip
    """
    state = GossipState()
    started_at = state.gossiped_at = kernel.clock.now()
    # All hosts together begin with each seed as often.
    first_seed = kernel.rng.getrandbits(8)
    now, sleep = kernel.clock.now, kernel.clock.sleep
    document_fetchers = kernel.find("document_fetchers")
    send_queues = kernel.find("send_queues")
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    upstreams = kernel.find("upstreams")
    rate_limits = kernel.find("rate_limits")
    poison_requests = kernel.find("poison_requests")
    queues = kernel.find("queues")
    gossip_builders = kernel.find("gossip_builders")
    build = gossip_builders.build
    own = members.own

    def receive(address, message, waited):
        if address == own.address:
            return
        age = waited + TRANSIT_SECONDS
        message = aged(message, age)
        is_new = members.record_message(address, message, age)
        for told in message.members:
            members.merge_record(told)
        for document in message.documents:
            document_fetchers.receive_document(address, document)
        if message.versions and message.sends_regularly:
            state.last_update_at = now() - age
        document_fetchers.handle_versions(address, message.versions)
        poison_requests.merge_breaks(message.broken_requests)
        if message.is_serving or message.in_flight_by_upstream:
            host = (address, message.incarnation)
            upstreams.merge_outcomes(*host, message.outcomes)
            upstreams.merge_in_flight(address, message.in_flight_by_upstream)
            rate_limits.merge_counts(*host, message.admitted_by_account)
            queues.wake()
        if message.wants_reply:
            state.asked_by_host[address] = (now(), message.versions)
            build_introduction = partial(
                gossip_builders.build_introduction, message.versions
            )
            send_queues.enqueue(address, REPLY, build_introduction)
        elif is_new:
            send_queues.enqueue(
                address, REPLY, lambda: build(records=gossip_builders.member_records())
            )

    def tell_askers():
        """Tell what is new to the hosts that asked before this one knew it."""
        for address, (asked_at, versions) in list(state.asked_by_host.items()):
            if now() - asked_at > ASKED_SECONDS:
                del state.asked_by_host[address]
                continue
            build_introduction = partial(gossip_builders.build_introduction, versions)
            send_queues.enqueue(address, REPLY, build_introduction)

    def period(peer):
        if not peer.in_mesh:
            return ALIVE_SECONDS
        return NEAR_SECONDS if peer.zone == own.zone else FAR_SECONDS

    def serve_peer(peer):
        """Tell one host what is new, until it needs no telling."""
        while peer.is_target:
            peer.wake_event.wait(period(peer) * (0.8 + 0.4 * kernel.rng.random()))
            if peer.wake_event.ready():
                sleep(GATHER_SECONDS)
            send_queues.enqueue(peer.address, UPDATE, lambda: take_news(peer))

    def take_news(peer):
        """Return what a host has to hear; what comes later wakes its task again."""
        if peer.wake_event.ready():
            peer.wake_event = create_event()
        return gossip_builders.build_for_peer(peer)

    def update_roles():
        """Work out the roles and who has to be told."""
        roles = state.roles = compute_roles(members)
        state.sender_count = max(len(roles.mesh_hosts), settings.planned_senders)
        keep_peers(roles.gossip_targets)
        for peer in state.peer_by_address.values():
            peer.in_mesh = roles.in_mesh and peer.address in roles.mesh_hosts
            is_near = peer.zone == own.zone
            is_relay = peer.address in roles.relays
            peer.receives_documents = roles.is_relay and (is_near or is_relay)
        find_fleet(members.live())
        gossip_builders.start_admission_period()

    def keep_peers(hosts):
        """Have one task for each host that is told something, and no other."""
        for host in hosts:
            if host.address in state.peer_by_address:
                continue
            peer = Peer(host, create_event)
            state.peer_by_address[host.address] = peer
            kernel.spawn(serve_peer, peer)
        told = {host.address for host in hosts}
        members.expect_heartbeats(told)
        for address in list(state.peer_by_address):
            if address in told:
                continue
            state.peer_by_address.pop(address).is_target = False
            # It must not miss this host from now on.
            send(address, build(with_versions=False))

    def find_fleet(live):
        """Ask a seed while little is known, and one random host now and then."""
        is_alone = len(live) == 1
        is_new = now() - started_at < NEW_SECONDS
        is_asking = (
            is_new or is_alone or not document_cache.version(CONFIGURATION).revision
        )
        if (
            is_asking
            and settings.seeds()
            and now() - state.seeded_at > state.seed_pause
        ):
            state.seeded_at = now()
            if not is_alone:
                state.seed_pause = min(state.seed_pause * 2, MOST_SEED_SECONDS)
            ask_seeds(is_alone)
        if now() - state.gossiped_at < GOSSIP_SECONDS:
            return
        state.gossiped_at = now()
        address = choose_stranger()
        if address is not None:
            rows = gossip_builders.member_records() if state.roles.is_relay else ()
            send(address, build(False, rows))

    def choose_stranger():
        """Return a host to tell of this one: a silent one may know nobody.

        Seeds are told as well, so that parts of a fleet that do not know of each other
        meet there.
        """
        seeds = other_seeds()
        if seeds and kernel.rng.random() < SEED_SHARE:
            return kernel.rng.choice(seeds)
        others = [host.address for host in members.records()]
        others.remove(own.address)
        return kernel.rng.choice(others) if others else None

    def other_seeds():
        return [address for address in settings.seeds() if address != own.address]

    def ask_seeds(is_alone):
        """Ask the next seed, or all once none of them has answered.

        A seed asks all others, as each may know other hosts.
        """
        asked = other_seeds()
        is_unanswered = is_alone and state.seed_asks >= len(asked)
        if own.address not in settings.seeds() and not is_unanswered:
            asked = asked[(first_seed + state.seed_asks) % len(asked) :][:1]
        state.seed_asks += 1
        for address in asked:
            send(address, build(wants_reply=True))

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
        """Have all told at once, first those that pass it on."""
        relays = state.roles.relays
        peers = state.peer_by_address.values()
        for peer in sorted(peers, key=lambda peer: peer.address not in relays):
            if not peer.wake_event.ready():
                peer.wake_event.send()

    def wake_near():
        for peer in state.peer_by_address.values():
            is_near = peer.in_mesh and peer.zone == own.zone
            if is_near and not peer.wake_event.ready():
                peer.wake_event.send()

    def startup_delay():
        if own.address in settings.seeds():
            return 0.0
        return ALONE_SECONDS if len(members.live()) == 1 else SETTLE_SECONDS

    def share_read():
        """Tell the relays of the zone what a host that is none has read by itself.

        It read because no relay had told it for long; they tell all others.
        """
        if state.roles.is_relay:
            return
        for address in list(state.peer_by_address):
            if address in state.roles.relays:
                send(address, build())

    def hear_news(value):
        tell_askers()
        if state.roles.is_relay:
            notify_all()

    for kind in KINDS:
        document_cache.subscribe(kind, hear_news)
    upstreams.on_urgent_outcome(wake_near)
    service = Gossip(
        receive,
        notify_all,
        lambda: state.roles.rank,
        startup_delay,
        lambda: state.sender_count,
        share_read,
        step,
        lambda: state.last_update_at,
        lambda: state.roles.first_readers,
    )
    kernel.register("gossip", service, start)
    return service
