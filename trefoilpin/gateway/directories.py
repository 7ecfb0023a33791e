"""Service discovery: the hosts that a caller is told to use.

Callers of a zone get a few of its hosts, those with the highest capacity: few hosts see
enough requests to judge upstreams quickly, and keep their connections warm. The number
grows with the zone's load. A host that is stopping, suspected or without fresh
configuration is left out.
"""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["AddressAnswer", "Directories", "create"]

LIFETIME_SECONDS = 2.0
LEAST_HOSTS = 2
MOST_HOSTS = 64
CACHE_SECONDS = 0.1

NO_HOSTS = Failure(
    Refusal(
        Reason.NOT_CURRENT,
        Verdict.NOT_RUN,
        "this host does not know which hosts can be used",
        LIFETIME_SECONDS,
    )
)


class AddressAnswer(NamedTuple):
    """IP addresses of hosts, and for how many seconds a caller may cache them."""

    addresses: tuple[str, ...]
    lifetime: float


class Directories(NamedTuple):
    """``directories``: ``answer(zone)`` returns ``AddressAnswer`` or ``Refusal``."""

    answer: Callable


def create(kernel):
    """Create the service ``directories``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Directories
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    members = kernel.find("members")
    cached_by_zone: dict[str, tuple[float, list]] = {}

    def find_hosts(zone):
        hosts = members.caller_hosts(zone)
        if len(hosts) >= LEAST_HOSTS:
            return hosts
        for other in sorted({member.zone for member in members.live()}):
            if other != zone:
                hosts = hosts + members.caller_hosts(other)
        return hosts

    def hosts_of(zone):
        found_at, hosts = cached_by_zone.get(zone, (float("-inf"), []))
        if now() - found_at > CACHE_SECONDS:
            hosts = find_hosts(zone)[:MOST_HOSTS]
            cached_by_zone[zone] = (now(), hosts)
        return hosts

    def answer(zone):
        addresses = [member.address for member in hosts_of(zone)]
        if not addresses:
            return NO_HOSTS
        kernel.rng.shuffle(addresses)
        emit(
            events.ADDRESSES_GIVEN,
            zone=zone,
            hosts=",".join(addresses),
            lifetime=LIFETIME_SECONDS,
        )
        return Success(AddressAnswer(tuple(addresses), LIFETIME_SECONDS))

    service = Directories(answer)
    kernel.register("directories", service)
    return service
