"""Roles of this host, computed from the membership view alone."""

from typing import NamedTuple

__all__ = ["NO_ROLES", "Roles", "find_order", "compute_roles"]


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
    gossip_targets: tuple
    first_readers: tuple[str, ...]


NO_ROLES = Roles(False, 0, frozenset(), frozenset(), False, (), ())
# The relays of three zones, and as many hosts that take over from them.
FIRST_READERS = 12


def find_order(live, relays_by_zone):
    """Return the addresses of hosts in the order of those that read the store.

    The relays come first, zone by zone, so that the first two are in different zones;
    then all other hosts.

    Parameters
    ----------
    live : sequence of MemberRecord
    relays_by_zone : dict
    """
    order = []
    most = max(map(len, relays_by_zone.values()), default=0)
    for place in range(1, most + 1):
        for _, rows in sorted(relays_by_zone.items()):
            if place <= len(rows):
                order.append(rows[-place].address)
    order.extend(sorted({host.address for host in live} - set(order)))
    return order


def compute_roles(members):
    """Return the roles of this host.

    Every host tells the relays of its zone; a relay tells its zone and the other
    relays; hosts that send requests to upstreams tell each other.

    Parameters
    ----------
    members : Members
    """
    own = members.own
    live = members.live()
    zones = sorted({member.zone for member in live})
    relays_by_zone = {zone: members.relays(zone) for zone in zones}
    relays = {host.address for rows in relays_by_zone.values() for host in rows}
    mesh_hosts = {member.address for member in members.mesh_hosts()}
    targets = {host.address for host in relays_by_zone.get(own.zone, ())}
    if own.address in relays:
        targets |= relays
        targets |= {host.address for host in live if host.zone == own.zone}
    if own.address in mesh_hosts:
        targets |= mesh_hosts
    targets.discard(own.address)
    order = find_order(live, relays_by_zone)
    rank = order.index(own.address)
    order.remove(own.address)
    return Roles(
        own.address in relays,
        rank,
        frozenset(relays),
        frozenset(mesh_hosts),
        own.address in mesh_hosts,
        tuple(host for host in live if host.address in targets),
        tuple(order[:FIRST_READERS]),
    )
