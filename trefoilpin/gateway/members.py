"""The other hosts: who runs, who gets callers, who reads the store.

A host is known by its IP number. Ages are upper bounds that travel with each message,
so no clocks need to agree. All roles follow from the view alone: hosts of a zone are
ranked by what they bear; callers are sent to the first few, and the last few, which
have the least to do, read the store and tell their zone.
"""

import zlib
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway import failure_detection
from trefoilpin.gateway.failure_detection import SILENT_SECONDS
from trefoilpin.gateway.messages import MemberRecord

__all__ = ["Members", "OwnHost", "create"]

FORGET_SECONDS = 30.0
# Word of the hosts that callers use is renewed with each gossip message of a relay: it is
# 0.6 s old with no datagram lost, and a caller is sent on from a dead host at once.
NAMED_SECONDS = 2.5
# Ages and loads differ little within this time.
SURVEY_SECONDS = 0.05
# What changed of a host is told with each gossip message for this time.
NEWS_SECONDS = 1.0
# A host whose configuration is older is not named to callers.
FRESH_SECONDS = 2.8
CALLER_HOSTS_PER_ZONE = 2
RELAYS_PER_ZONE = 2
# Hosts get callers until this share of what they bear covers the zone's requests.
PLANNED_UTILISATION = 0.4
# After this time without word a host that served holds its share of the rates no more.
LOST_SECONDS = 12.0
# Fewer requests a second come to hosts that no caller is sent to.
SERVING_LOAD = 3.0
# The load follows a change within about this time.
LOAD_SECONDS = 2.0


class OwnHost(NamedTuple):
    """This start of the daemon.

    Attributes
    ----------
    address : str
        IP number.
    zone, region : str
    incarnation : int
        Unix milliseconds.
    capacity : float
        Requests a second that the host bears.
    """

    address: str
    zone: str
    region: str
    incarnation: int
    capacity: float


class Members(NamedTuple):
    """``members``: the fleet as this host sees it.

    ``hear(address, message, age)`` takes what a host said of itself some seconds ago
    and returns True when it is new; ``learn(member)`` takes what another said of it.
    ``live()`` gives the hosts that run, this one included. ``caller_hosts(zone)`` are
    those that callers of a zone should use, ``relays(zone)`` those that read the store
    for a zone, and ``meshed()`` all that send requests to upstreams. ``reached()``
    gives how many of those that serve were heard directly, and how many there are.
    ``expect(addresses)`` says which hosts tell this one regularly as it tells them.
    ``describe()`` gives all hosts with their ages, ``news()`` those of which others
    should hear at once.

    ``is_stopping`` and ``stop()`` tell of this host's own end; ``note_request()``
    counts a request here, ``tick(seconds)`` turns the count into ``load()`` and returns
    True when another host fell silent or is heard again, and ``is_serving()`` tells
    whether the load is more than the checks which reach every host.
    """

    own: OwnHost
    hear: Callable
    learn: Callable
    live: Callable
    caller_hosts: Callable
    relays: Callable
    meshed: Callable
    reached: Callable
    expect: Callable
    describe: Callable
    news: Callable
    is_stopping: Callable[[], bool]
    stop: Callable[[], None]
    note_request: Callable[[], None]
    tick: Callable[[float], bool]
    load: Callable[[], float]
    is_serving: Callable[[], bool]


class MembershipView(NamedTuple):
    """Hosts that run, as of a moment.

    Attributes
    ----------
    made_at : float
    live : tuple of MemberRecord
    live_by_zone : dict
        In the order of ``rank_key``.
    """

    made_at: float
    live: tuple[MemberRecord, ...]
    live_by_zone: dict[str, list[MemberRecord]]


class MembershipState:
    """The view, and this host's own load."""

    def __init__(self):
        self.survey: MembershipView | None = None
        self.member_by_address: dict[str, failure_detection.Member] = {}
        self.is_stopping = False
        self.requests = 0
        self.load = 0.0


def rank_key(member):
    """Return the order of hosts in their zone: what they bear, then a fixed number.

    Rows hold capacities as whole numbers, so every host must rank by those.
    """
    return -int(member.capacity), zlib.crc32(member.address.encode()), member.address


def create(kernel, own, fresh_age):
    """Create the service ``members``.

    Parameters
    ----------
    kernel : Kernel
    own : OwnHost
    fresh_age : callable
        Age in seconds of this host's configuration.

    Returns
    -------
    Members
    """
    state = MembershipState()
    now = kernel.clock.now
    emit = kernel.find("events").emit

    def describe_own():
        return MemberRecord(
            own.address,
            own.zone,
            own.incarnation,
            0.0,
            own.capacity,
            state.load,
            state.is_stopping,
            is_serving(),
            fresh_age(),
        )

    def is_serving():
        return state.load >= SERVING_LOAD

    def hear(address, bulletin, age):
        told = MemberRecord(
            address,
            bulletin.zone,
            bulletin.incarnation,
            age,
            bulletin.capacity,
            bulletin.load,
            bulletin.is_stopping,
            bulletin.is_serving,
            bulletin.knowledge_age,
        )
        is_new = address not in state.member_by_address
        member = take(told)
        if member is not None:
            member.direct_at = now() - age
            member.tells_on = bulletin.tells_on
        return is_new

    def learn(told):
        if told.address != own.address:
            take(told)

    def take(told):
        """Return the member that was told of, or None when it says nothing new."""
        member = state.member_by_address.get(told.address)
        if member is not None:
            before = member.changed_at
            taken = failure_detection.take(member, told, now())
            if member.changed_at != before:
                state.survey = None
            return member if taken else None
        state.survey = None
        member = failure_detection.create_member(told, now())
        if member is not None:
            state.member_by_address[told.address] = member
            emit(events.MEMBER_FOUND, host=told.address, zone=told.zone)
        return member

    def age(member):
        return now() - member.heard_at

    def survey():
        """Return who runs, worked out anew when something changed or time passed."""
        known = state.survey
        if known is not None and now() - known.made_at < SURVEY_SECONDS:
            return known
        live = [describe_own()]
        for member in state.member_by_address.values():
            if failure_detection.is_live(member, now()):
                live.append(member.told)
        live_by_zone: dict[str, list[MemberRecord]] = {}
        for host in sorted(live, key=rank_key):
            live_by_zone.setdefault(host.zone, []).append(host)
        state.survey = MembershipView(now(), tuple(live), live_by_zone)
        return state.survey

    def describe_member(member):
        is_silent = failure_detection.is_silent(member, now())
        return member.told._replace(age=age(member), is_silent=is_silent)

    def news():
        """Return hosts of which something changed, and those that callers use."""
        by_address = {}
        for address, member in state.member_by_address.items():
            if now() - member.changed_at < NEWS_SECONDS:
                by_address[address] = member
        for zone in zones():
            for named in caller_hosts(zone):
                member = state.member_by_address.get(named.address)
                if member is not None:
                    by_address[named.address] = member
        return tuple(describe_member(member) for member in by_address.values())

    def live():
        return survey().live

    def of_zone(zone):
        return survey().live_by_zone.get(zone, ())

    def ranked(zone):
        return [member for member in of_zone(zone) if not member.is_stopping]

    def is_store_away():
        """Tell whether nobody has fresh knowledge though most of the fleet is heard."""
        heard = [member for member in live() if not is_overdue(member.address)]
        if any(member.knowledge_age <= FRESH_SECONDS for member in heard):
            return False
        return len(heard) * 2 > len(state.member_by_address) + 1

    def caller_hosts(zone):
        found = []
        demand = sum(member.load for member in of_zone(zone))
        borne = 0.0
        for member in ranked(zone):
            if member.knowledge_age > FRESH_SECONDS and not is_store_away():
                continue
            if is_overdue(member.address):
                continue
            covered = borne * PLANNED_UTILISATION >= demand
            if len(found) >= CALLER_HOSTS_PER_ZONE and covered:
                break
            found.append(member)
            borne += member.capacity
        return found

    def is_overdue(address):
        """Tell whether a host was not heard of for too long to send callers there."""
        member = state.member_by_address.get(address)
        return member is not None and age(member) > NAMED_SECONDS

    def relays(zone):
        return ranked(zone)[-RELAYS_PER_ZONE:]

    def zones():
        return sorted(survey().live_by_zone)

    def meshed():
        by_address = {}
        for zone in zones():
            for member in caller_hosts(zone):
                by_address[member.address] = member
        for member in live():
            if member.is_serving:
                by_address[member.address] = member
        return list(by_address.values())

    def reached():
        """Return how many hosts that serve were heard, and how many there are."""
        heard, total = 1, 1
        for member in state.member_by_address.values():
            told = member.told
            quiet = now() - member.direct_at
            if not told.is_serving or told.is_stopping or age(member) > LOST_SECONDS:
                continue
            total += 1
            heard += quiet < SILENT_SECONDS
        return heard, total

    def expect(addresses):
        for address, member in state.member_by_address.items():
            member.is_expected = address in addresses

    def describe():
        found = [describe_own()]
        for address, member in list(state.member_by_address.items()):
            known_for = age(member)
            if known_for > FORGET_SECONDS:
                del state.member_by_address[address]
                emit(events.MEMBER_LOST, host=address, zone=member.told.zone)
                continue
            found.append(describe_member(member))
        return found

    def stop():
        state.is_stopping = True
        state.survey = None

    def note_request():
        state.requests += 1

    def tick(seconds):
        rate = state.requests / seconds
        state.requests = 0
        weight = min(seconds / LOAD_SECONDS, 1.0)
        state.load += (rate - state.load) * weight
        state.survey = None
        is_changed = False
        for address, member in state.member_by_address.items():
            if not failure_detection.mark(member, now()):
                continue
            is_changed = True
            if member.was_silent:
                emit(events.MEMBER_SILENT, host=address, zone=member.told.zone)
        return is_changed

    service = Members(
        own,
        hear,
        learn,
        live,
        caller_hosts,
        relays,
        meshed,
        reached,
        expect,
        describe,
        news,
        lambda: state.is_stopping,
        stop,
        note_request,
        tick,
        lambda: state.load,
        is_serving,
    )
    kernel.register("members", service)
    return service
