"""Views of the zones: digests of what a host knows of their hosts, and the ages.

Hosts with equal digests know the same of a zone but for ages and loads, so that the
ages alone keep their knowledge fresh.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.fleet import failure_detection
from trefoilpin.gateway.fleet.messages import ZoneView

__all__ = ["ZoneViews", "create"]

# Digests are sent as signed 64-bit integers.
DIGEST_MASK = (1 << 63) - 1


class ZoneViews(NamedTuple):
    """``list_all()`` returns a ``ZoneView`` of each zone, with the ages of its hosts.

    ``merge(view)`` takes the ages of another host's view if its hosts are the ones that
    this host knows.
    """

    list_all: Callable[[], tuple[ZoneView, ...]]
    merge: Callable[[ZoneView], None]


def create(membership_view, find_member, now):
    """Create the functions of the views.

    Parameters
    ----------
    membership_view : callable
        Returns the current ``MembershipView``.
    find_member : callable
        Returns the ``Member`` of an address, or None for this host.
    now : callable
        Seconds of the kernel's clock.

    Returns
    -------
    ZoneViews
    """

    def ordered_hosts(zone):
        """Return the live hosts of a zone in the order of their addresses."""
        current = membership_view()
        if zone not in current.ordered_by_zone:
            hosts = current.live_by_zone.get(zone, ())
            ordered = sorted(hosts, key=lambda host: host.address)
            current.ordered_by_zone[zone] = ordered
        return current.ordered_by_zone[zone]

    def zone_digest(zone):
        digest_by_zone = membership_view().digest_by_zone
        if zone not in digest_by_zone:
            digest_by_zone[zone] = compute_digest(ordered_hosts(zone))
        return digest_by_zone[zone]

    def compute_digest(hosts):
        total = 0
        for host in hosts:
            member = find_member(host.address)
            if member is None:
                total += failure_detection.record_digest(host)
            else:
                total += failure_detection.member_digest(member)
        return total & DIGEST_MASK

    def age(host):
        member = find_member(host.address)
        return 0.0 if member is None else now() - member.last_alive_at

    def list_all():
        views = []
        for zone in sorted(membership_view().live_by_zone):
            ages = tuple(age(host) for host in ordered_hosts(zone))
            views.append(ZoneView(zone, zone_digest(zone), ages))
        return tuple(views)

    def merge(view):
        hosts = ordered_hosts(view.zone)
        if len(hosts) != len(view.ages) or zone_digest(view.zone) != view.digest:
            return
        for host, host_age in zip(hosts, view.ages):
            member = find_member(host.address)
            if member is not None:
                alive_at = now() - host_age
                member.last_alive_at = max(member.last_alive_at, alive_at)

    return ZoneViews(list_all, merge)
