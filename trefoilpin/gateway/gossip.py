"""Exchange of gossip messages: one task for each host that is told something.

Who tells whom follows from the roles. Every host tells the relays of its zone that it
lives; a relay tells the hosts of its zone and the other relays what it knows, at once
when something changed; the hosts that send requests to upstreams tell each other
outcomes, requests under way and admitted requests. Gossip messages go by datagram, and
anything in them may be lost: the next one holds it again.
"""

from functools import partial
from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION, KINDS
from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.messages import aged
from trefoilpin.gateway.roles import NO_ROLES, work_out

__all__ = ["GossipSettings", "Gossip", "create"]

STEWARD_SECONDS = 0.2
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
NEWS, REPLY = "news", "reply"


class GossipSettings(NamedTuple):
    """What the deployment tells of the fleet.

    Attributes
    ----------
    seeds : callable
        Gives the IP numbers of hosts to ask first.
    planned_senders : int
        Least number of hosts that are taken to send requests to upstreams.
    """

    seeds: Callable
    planned_senders: int


class Gossip(NamedTuple):
    """``gossip``: what hosts tell each other.

    ``receive(address, message, waited)`` takes one that waited for so many seconds to
    be read, ``wake()`` has news go out to all hosts now,
    ``rank()`` is this host's place in the order of those that read the store,
    ``settle()`` the seconds after the start in which it leaves that to others, and
    ``sender_count()`` the number of hosts that send requests to upstreams.
    ``share_reading()`` tells the relays what this host itself has just read. ``step()``
    works out the roles; a task calls it. ``told_at()`` is when a host that goes on
    telling last told what it knows of the store, and ``first_readers()`` are those that
    read it first.
    """

    receive: Callable
    wake: Callable
    rank: Callable
    settle: Callable[[], float]
    sender_count: Callable
    share_reading: Callable[[], None]
    step: Callable[[], None]
    told_at: Callable[[], float]
    first_readers: Callable[[], tuple[str, ...]]


class Peer:
    """A host that is told something, and the task that does it."""

    def __init__(self, host, create_event):
        self.address = host.address
        self.zone = host.zone
        self.is_meshed = False
        self.hears_store = False
        self.is_told = True
        self.news = create_event()
        self.members_at = float("-inf")
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
        self.told_at = float("-inf")
        self.asked_by_host: dict[str, tuple[float, tuple]] = {}


def create(kernel, terms, create_event, send):
    """Create the service ``gossip``.

    Parameters
    ----------
    kernel : Kernel
    terms : GossipSettings
    create_event : callable
        Makes an event with ``wait(timeout)``, ``send()`` and ``ready()``.
    send : callable
        ``send(address, message)`` puts a datagram on its way and gives its bytes.

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
    compose = gossip_builders.compose
    own = members.own

    def receive(address, bulletin, waited):
        if address == own.address:
            return
        age = waited + TRANSIT_SECONDS
        bulletin = aged(bulletin, age)
        is_new = members.hear(address, bulletin, age)
        for told in bulletin.members:
            members.learn(told)
        for document in bulletin.documents:
            document_fetchers.take(address, document)
        if bulletin.stamps and bulletin.tells_on:
            state.told_at = now() - age
        document_fetchers.hear(address, bulletin.stamps)
        poison_requests.learn(bulletin.breaks)
        if bulletin.is_serving or bulletin.in_flight_by_upstream:
            host = (address, bulletin.incarnation)
            upstreams.learn_outcomes(*host, bulletin.outcomes)
            upstreams.learn_flights(address, bulletin.in_flight_by_upstream)
            rate_limits.learn(*host, bulletin.admitted_by_account)
            queues.wake()
        if bulletin.wants_reply:
            state.asked_by_host[address] = (now(), bulletin.stamps)
            introduce = partial(gossip_builders.introduce, bulletin.stamps)
            send_queues.put(address, REPLY, introduce)
        elif is_new:
            send_queues.put(
                address, REPLY, lambda: compose(rows=gossip_builders.view())
            )

    def tell_askers():
        """Tell what is new to the hosts that asked before this one knew it."""
        for address, (asked_at, stamps) in list(state.asked_by_host.items()):
            if now() - asked_at > ASKED_SECONDS:
                del state.asked_by_host[address]
                continue
            introduce = partial(gossip_builders.introduce, stamps)
            send_queues.put(address, REPLY, introduce)

    def period(peer):
        if not peer.is_meshed:
            return ALIVE_SECONDS
        return NEAR_SECONDS if peer.zone == own.zone else FAR_SECONDS

    def serve_peer(peer):
        """Tell one host what is new, until it needs no telling."""
        while peer.is_told:
            peer.news.wait(period(peer) * (0.8 + 0.4 * kernel.rng.random()))
            if peer.news.ready():
                sleep(GATHER_SECONDS)
            send_queues.put(peer.address, NEWS, lambda: take_news(peer))

    def take_news(peer):
        """Return what a host has to hear; what comes later wakes its task again."""
        if peer.news.ready():
            peer.news = create_event()
        return gossip_builders.for_peer(peer)

    def steward():
        """Work out the roles and who has to be told."""
        roles = state.roles = work_out(members)
        state.sender_count = max(len(roles.meshed), terms.planned_senders)
        keep_peers(roles.told)
        for peer in state.peer_by_address.values():
            peer.is_meshed = roles.is_meshed and peer.address in roles.meshed
            is_near = peer.zone == own.zone
            is_relay = peer.address in roles.relays
            peer.hears_store = roles.is_relay and (is_near or is_relay)
        find_fleet(members.live())
        gossip_builders.turn_page()

    def keep_peers(hosts):
        """Have one task for each host that is told something, and no other."""
        for host in hosts:
            if host.address in state.peer_by_address:
                continue
            peer = Peer(host, create_event)
            state.peer_by_address[host.address] = peer
            kernel.spawn(serve_peer, peer)
        told = {host.address for host in hosts}
        members.expect(told)
        for address in list(state.peer_by_address):
            if address in told:
                continue
            state.peer_by_address.pop(address).is_told = False
            # It must not miss this host from now on.
            send(address, compose(with_stamps=False))

    def find_fleet(live):
        """Ask a seed while little is known, and one random host now and then."""
        is_alone = len(live) == 1
        is_new = now() - started_at < NEW_SECONDS
        is_asking = (
            is_new or is_alone or not document_cache.stamp(CONFIGURATION).revision
        )
        if is_asking and terms.seeds() and now() - state.seeded_at > state.seed_pause:
            state.seeded_at = now()
            if not is_alone:
                state.seed_pause = min(state.seed_pause * 2, MOST_SEED_SECONDS)
            ask_seeds(is_alone)
        if now() - state.gossiped_at < GOSSIP_SECONDS:
            return
        state.gossiped_at = now()
        address = choose_stranger()
        if address is not None:
            rows = gossip_builders.view() if state.roles.is_relay else ()
            send(address, compose(False, rows))

    def choose_stranger():
        """Return a host to tell of this one: a silent one may know nobody.

        Seeds are told as well, so that parts of a fleet that do not know of each other
        meet there.
        """
        seeds = other_seeds()
        if seeds and kernel.rng.random() < SEED_SHARE:
            return kernel.rng.choice(seeds)
        others = [host.address for host in members.describe()]
        others.remove(own.address)
        return kernel.rng.choice(others) if others else None

    def other_seeds():
        return [address for address in terms.seeds() if address != own.address]

    def ask_seeds(is_alone):
        """Ask the next seed, or all once none of them has answered.

        A seed asks all others, as each may know other hosts.
        """
        asked = other_seeds()
        is_unanswered = is_alone and state.seed_asks >= len(asked)
        if own.address not in terms.seeds() and not is_unanswered:
            asked = asked[(first_seed + state.seed_asks) % len(asked) :][:1]
        state.seed_asks += 1
        for address in asked:
            send(address, compose(wants_reply=True))

    def step():
        steward()
        upstreams.watch()
        queues.wake()
        if members.tick(STEWARD_SECONDS) and state.roles.is_relay:
            gossip_builders.drop_rows()
            wake()

    def start():
        kernel.spawn(repeat, sleep, lambda: STEWARD_SECONDS, step)

    def wake():
        """Have all told at once, first those that pass it on."""
        relays = state.roles.relays
        peers = state.peer_by_address.values()
        for peer in sorted(peers, key=lambda peer: peer.address not in relays):
            if not peer.news.ready():
                peer.news.send()

    def wake_near():
        for peer in state.peer_by_address.values():
            is_near = peer.is_meshed and peer.zone == own.zone
            if is_near and not peer.news.ready():
                peer.news.send()

    def settle():
        if own.address in terms.seeds():
            return 0.0
        return ALONE_SECONDS if len(members.live()) == 1 else SETTLE_SECONDS

    def share_reading():
        """Tell the relays of the zone what a host that is none has read by itself.

        It read because no relay had told it for long; they tell all others.
        """
        if state.roles.is_relay:
            return
        for address in list(state.peer_by_address):
            if address in state.roles.relays:
                send(address, compose())

    def hear_news(value):
        tell_askers()
        if state.roles.is_relay:
            wake()

    for kind in KINDS:
        document_cache.subscribe(kind, hear_news)
    upstreams.on_news(wake_near)
    service = Gossip(
        receive,
        wake,
        lambda: state.roles.rank,
        settle,
        lambda: state.sender_count,
        share_reading,
        step,
        lambda: state.told_at,
        lambda: state.roles.first_readers,
    )
    kernel.register("gossip", service, start)
    return service
