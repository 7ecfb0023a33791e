"""Membership: which hosts are live, which ones callers use, which ones read the store.

A host is identified by its IP address. Ages are upper bounds that travel with each
message, so clocks need not be synchronized. All roles are computed from the membership
view alone. The hosts of a zone are ranked by capacity: the first few receive callers,
and the last few, which have the least load, are the relays, which are the first readers
of the store and forward its documents to their zone.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.balancing.cold_checks import KnownHosts
from trefoilpin.gateway.fleet import failure_detection, store_absences, zone_views
from trefoilpin.gateway.fleet.failure_detection import (
    MAX_CONFIGURATION_AGE_SECONDS,
    SUSPICION_TIMEOUT_SECONDS,
)
from trefoilpin.gateway.fleet.membership_views import MembershipView
from trefoilpin.gateway.fleet.messages import MemberRecord

__all__ = ["Members", "OwnHost", "create"]

MAX_MEMBER_AGE_SECONDS = 30.0
# Oldest record of a host to which callers are still directed. Relays refresh these
# records with each message, so they are at most 0.6 s old unless a datagram is lost.
# Callers of a dead host fail over to another one at once.
MAX_CALLER_HOST_AGE_SECONDS = 2.5
# Ages and loads change little while a computed view is reused.
MAX_VIEW_CACHE_AGE_SECONDS = 0.2
# A changed record is included in every gossip message for this time.
MAX_RECENT_CHANGE_AGE_SECONDS = 1.0
CALLER_HOSTS_PER_ZONE = 2
RELAYS_PER_ZONE = 2
# Share of a host's capacity that is planned for; a zone gets as many caller hosts as
# this share of their capacity needs to cover the zone's load.
PLANNED_UTILISATION = 0.4
# A serving host last known to be alive longer ago than this no longer counts in the
# split of the rates.
SERVING_TIMEOUT_SECONDS = 12.0
# Requests per second; hosts that receive no callers stay below this.
MIN_SERVING_LOAD = 3.0
# Time constant of the moving average of the load.
LOAD_AVERAGE_SECONDS = 2.0


class OwnHost(NamedTuple):
    """This host and the current start of its daemon.

    Attributes
    ----------
    address : str
        IP address.
    zone, region : str
    incarnation : int
        Start of the daemon, Unix milliseconds.
    capacity : float
        Requests per second that the host can serve.
    """

    address: str
    zone: str
    region: str
    incarnation: int
    capacity: float


class Members(NamedTuple):
    """``members``: the membership as seen by this host.

    ``record_message(address, message, age)`` stores what a host reported of itself
    ``age`` seconds ago and returns True when the host is new; ``merge_record(record)``
    merges what another host reported of it. ``live()`` returns the live hosts, this one
    included. ``caller_hosts(zone)`` are those that callers of a zone should use,
    ``relays(zone)`` the relays of a zone, and ``mesh_hosts()`` all that send requests
    to upstreams. ``mesh_coverage()`` returns how many of the serving hosts sent this
    one a message recently, and how many there are, this one included in both.
    ``expect_heartbeats(addresses)`` sets the hosts that send to this one regularly, as
    it does to them. ``records(zones)`` returns the records of all hosts, or of those
    of some zones, and ``changed_records(zone)`` those to be passed on at once: what
    changed recently, and all hosts with callers, or only those of one zone.
    ``zone_views()`` returns a ``ZoneView`` of each zone, and ``merge_zone_view(view)``
    takes the ages from one with the same digest. ``is_other_zone(address)`` tells
    whether a host is known to be in another zone than this one.

    ``is_stopping()`` and ``stop()`` concern this host's own shutdown.
    ``count_request()`` counts a request at this host, and ``tick(seconds)`` turns the
    count into ``load()``; it returns True when another host became suspected or was
    cleared. ``is_serving()`` tells whether the load exceeds that of the health checks,
    which reach every host. ``is_store_away()`` tells whether it seems that no host
    reaches the store. ``known_hosts()`` returns the ``KnownHosts``.
    """

    own: OwnHost
    record_message: Callable
    merge_record: Callable
    live: Callable
    caller_hosts: Callable
    relays: Callable
    mesh_hosts: Callable
    mesh_coverage: Callable
    expect_heartbeats: Callable
    records: Callable
    changed_records: Callable
    zone_views: Callable
    merge_zone_view: Callable
    is_other_zone: Callable[[str], bool]
    is_stopping: Callable[[], bool]
    stop: Callable[[], None]
    count_request: Callable[[], None]
    tick: Callable[[float], bool]
    load: Callable[[], float]
    is_serving: Callable[[], bool]
    is_store_away: Callable[[], bool]
    known_hosts: Callable[[], KnownHosts]


class MembershipState:
    """The known members, and the load of this host."""

    def __init__(self):
        self.view: MembershipView | None = None
        self.member_by_address: dict[str, failure_detection.Member] = {}
        self.is_stopping = False
        self.requests = 0
        self.load = 0.0


def create(kernel, own, configuration_age):
    """Create the service ``members``.

    Parameters
    ----------
    kernel : Kernel
    own : OwnHost
    configuration_age : callable
        Age in seconds of this host's configuration.

    Returns
    -------
    Members
    """
    state = MembershipState()
    now = kernel.clock.now
    emit = kernel.find("events").emit

    def own_record():
        return MemberRecord(
            own.address,
            own.zone,
            own.incarnation,
            0.0,
            own.capacity,
            state.load,
            state.is_stopping,
            is_serving(),
            configuration_age(),
        )

    def is_serving():
        return state.load >= MIN_SERVING_LOAD

    def record_message(address, message, age):
        record = MemberRecord(
            address,
            message.zone,
            message.incarnation,
            age,
            message.capacity,
            message.load,
            message.is_stopping,
            message.is_serving,
            message.configuration_age,
        )
        is_new = address not in state.member_by_address
        member = store_record(record)
        if member is not None:
            member.last_message_at = now() - age
            member.sends_regularly = message.sends_regularly
        return is_new

    def merge_record(record):
        if record.address != own.address:
            store_record(record)

    def store_record(record):
        """Return the updated member, or None when the record was not stored."""
        member = state.member_by_address.get(record.address)
        if member is not None:
            before = member.changed_at
            is_merged = failure_detection.merge_record(member, record, now())
            if member.changed_at != before:
                state.view = None
            return member if is_merged else None
        state.view = None
        member = failure_detection.create_member(record, now())
        if member is not None:
            state.member_by_address[record.address] = member
            emit(events.MEMBER_FOUND, host=record.address, zone=record.zone)
        return member

    def age(member):
        return now() - member.last_alive_at

    def view():
        """Return the cached view, recomputed after a change or when it is too old."""
        cached = state.view
        if (
            cached is not None
            and now() - cached.computed_at < MAX_VIEW_CACHE_AGE_SECONDS
        ):
            return cached
        live = [own_record()]
        for member in state.member_by_address.values():
            if failure_detection.is_live(member, now()):
                live.append(member.record)
        state.view = MembershipView(now(), live)
        return state.view

    def member_record(member):
        is_suspected = failure_detection.is_suspected(member, now())
        return member.record._replace(age=age(member), is_suspected=is_suspected)

    def changed_records(zone=None):
        """Return the records that changed recently and those of hosts with callers."""
        by_address = {}
        for address, member in state.member_by_address.items():
            is_recent = now() - member.changed_at < MAX_RECENT_CHANGE_AGE_SECONDS
            is_in_zone = zone in (None, member.record.zone)
            if is_recent or (is_in_zone and member.record.is_serving):
                by_address[address] = member
        for caller_zone in zones() if zone is None else (zone,):
            for host in caller_hosts(caller_zone):
                member = state.member_by_address.get(host.address)
                if member is not None:
                    by_address[host.address] = member
        return tuple(member_record(member) for member in by_address.values())

    def live():
        return view().live

    def live_in_zone(zone):
        return view().live_by_zone.get(zone, ())

    def candidates(zone):
        return [member for member in live_in_zone(zone) if not member.is_stopping]

    def is_store_unreachable():
        """Tell whether most records are recent but none has a recent configuration."""
        current = view()
        if current.is_store_unreachable is None:
            heard, has_recent = 0, False
            for member in current.live:
                if is_overdue(member.address):
                    continue
                heard += 1
                if member.configuration_age <= MAX_CONFIGURATION_AGE_SECONDS:
                    has_recent = True
            is_most = heard * 2 > len(state.member_by_address) + 1
            current.is_store_unreachable = is_most and not has_recent
        return current.is_store_unreachable

    def caller_hosts(zone):
        callers_by_zone = view().callers_by_zone
        if zone not in callers_by_zone:
            callers_by_zone[zone] = find_caller_hosts(zone)
        return callers_by_zone[zone]

    def find_caller_hosts(zone):
        found = []
        demand = sum(member.load for member in live_in_zone(zone))
        total_capacity = 0.0
        for member in candidates(zone):
            if (
                member.configuration_age > MAX_CONFIGURATION_AGE_SECONDS
                and not is_store_unreachable()
            ):
                continue
            if is_overdue(member.address):
                continue
            is_covered = total_capacity * PLANNED_UTILISATION >= demand
            if len(found) >= CALLER_HOSTS_PER_ZONE and is_covered:
                break
            found.append(member)
            total_capacity += member.capacity
        return found

    def is_overdue(address):
        """Tell whether the record of a host is too old to direct callers to it."""
        member = state.member_by_address.get(address)
        return member is not None and age(member) > MAX_CALLER_HOST_AGE_SECONDS

    def relays(zone):
        return candidates(zone)[-RELAYS_PER_ZONE:]

    def zones():
        return sorted(view().live_by_zone)

    def mesh_hosts():
        by_address = {}
        for zone in zones():
            for member in caller_hosts(zone):
                by_address[member.address] = member
        for member in live():
            if member.is_serving:
                by_address[member.address] = member
        return list(by_address.values())

    def mesh_coverage():
        """Return how many serving hosts sent messages recently, and how many exist."""
        heard, total = 1, 1
        for member in state.member_by_address.values():
            record = member.record
            silence = now() - member.last_message_at
            if (
                not record.is_serving
                or record.is_stopping
                or age(member) > SERVING_TIMEOUT_SECONDS
            ):
                continue
            total += 1
            heard += silence < SUSPICION_TIMEOUT_SECONDS
        return heard, total

    def known_hosts():
        in_zone, zone_position, position = 1, 0, 0
        for address, member in state.member_by_address.items():
            is_in_zone = member.record.zone == own.zone
            in_zone += is_in_zone
            position += address < own.address
            zone_position += is_in_zone and address < own.address
        in_all = len(state.member_by_address) + 1
        return KnownHosts(in_zone, in_all, zone_position, position)

    def expect_heartbeats(addresses):
        for address, member in state.member_by_address.items():
            member.is_heartbeat_expected = address in addresses

    def records(zones=None):
        found = []
        if zones is None or own.zone in zones:
            found.append(own_record())
        for address, member in list(state.member_by_address.items()):
            silence = age(member)
            if silence > MAX_MEMBER_AGE_SECONDS:
                del state.member_by_address[address]
                emit(events.MEMBER_LOST, host=address, zone=member.record.zone)
                continue
            if zones is None or member.record.zone in zones:
                found.append(member_record(member))
        return found

    def stop():
        state.is_stopping = True
        state.view = None

    def count_request():
        state.requests += 1

    def tick(seconds):
        rate = state.requests / seconds
        state.requests = 0
        weight = min(seconds / LOAD_AVERAGE_SECONDS, 1.0)
        state.load += (rate - state.load) * weight
        state.view = None
        absence.update()
        is_changed = False
        for address, member in state.member_by_address.items():
            if not failure_detection.update_suspicion(member, now()):
                continue
            is_changed = True
            if member.was_suspected:
                emit(events.MEMBER_SILENT, host=address, zone=member.record.zone)
        return is_changed

    def is_other_zone(address):
        member = state.member_by_address.get(address)
        return member is not None and member.record.zone != own.zone

    absence = store_absences.create(
        now, configuration_age, state.member_by_address.values
    )
    views = zone_views.create(view, state.member_by_address.get, now)
    service = Members(
        own,
        record_message,
        merge_record,
        live,
        caller_hosts,
        relays,
        mesh_hosts,
        mesh_coverage,
        expect_heartbeats,
        records,
        changed_records,
        views.list_all,
        views.merge,
        is_other_zone,
        lambda: state.is_stopping,
        stop,
        count_request,
        tick,
        lambda: state.load,
        is_serving,
        absence.is_away,
        known_hosts,
    )
    kernel.register("members", service)
    return service
