"""Roles of this host, computed from the membership view alone."""

from typing import NamedTuple

__all__ = ["NO_ROLES", "Roles", "reader_order", "compute_roles"]


class Roles(NamedTuple):
    """Roles at one instant.

    Attributes
    ----------
    is_relay : bool
    rank : int
        Position in the order of store readers, from 0.
    relays, mesh_hosts : frozenset of str
        Addresses of all relays, and of all hosts that send requests to upstreams.
    in_mesh : bool
        True when this host is one of ``mesh_hosts``.
    zone_mesh_hosts : tuple of str
        Addresses of the other ``mesh_hosts`` in this host's zone.
    gossip_targets : tuple of MemberRecord
        Hosts to which this one sends regularly.
    first_readers : tuple of str
        Addresses of the first other hosts in the order of store readers.
    """

    is_relay: bool
    rank: int
    relays: frozenset[str]
    mesh_hosts: frozenset[str]
    in_mesh: bool
    zone_mesh_hosts: tuple[str, ...]
    gossip_targets: tuple
    first_readers: tuple[str, ...]


NO_ROLES = Roles(False, 0, frozenset(), frozenset(), False, (), (), ())
# The six relays of three zones, and as many hosts to replace them.
MAX_FIRST_READERS = 12


def reader_order(live, relays_by_zone):
    """Return the addresses of all hosts in the order of store readers.

    The relays come first, alternating between zones so that the first two are in
    different zones; all other hosts follow by address.

    Parameters
    ----------
    live : sequence of MemberRecord
    relays_by_zone : dict
    """
    order = []
    max_relays = max(map(len, relays_by_zone.values()), default=0)
    for position in range(1, max_relays + 1):
        for _, hosts in sorted(relays_by_zone.items()):
            if position <= len(hosts):
                order.append(hosts[-position].address)
    order.extend(sorted({host.address for host in live} - set(order)))
    return order


def compute_roles(members):
    """Return the roles of this host.

    Every host sends to the relays of its zone. A relay also sends to all hosts of its
    zone and to the other relays, and hosts that send requests to upstreams send to each
    other.

    Parameters
    ----------
    members : Members
    """
    own = members.own
    live = members.live()
    zones = sorted({member.zone for member in live})
    relays_by_zone = {zone: members.relays(zone) for zone in zones}
    relays = {host.address for hosts in relays_by_zone.values() for host in hosts}
    mesh_hosts, zone_mesh_hosts = set(), []
    for member in members.mesh_hosts():
        mesh_hosts.add(member.address)
        if member.zone == own.zone and member.address != own.address:
            zone_mesh_hosts.append(member.address)
    target_addresses = {host.address for host in relays_by_zone.get(own.zone, ())}
    if own.address in relays:
        target_addresses |= relays
        target_addresses |= {host.address for host in live if host.zone == own.zone}
    if own.address in mesh_hosts:
        target_addresses |= mesh_hosts
    target_addresses.discard(own.address)
    order = reader_order(live, relays_by_zone)
    rank = order.index(own.address)
    order.remove(own.address)
    return Roles(
        own.address in relays,
        rank,
        frozenset(relays),
        frozenset(mesh_hosts),
        own.address in mesh_hosts,
        tuple(zone_mesh_hosts),
        tuple(host for host in live if host.address in target_addresses),
        tuple(order[:MAX_FIRST_READERS]),
    )
