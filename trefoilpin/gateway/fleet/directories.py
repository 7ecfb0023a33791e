"""Service discovery: the hosts to which callers send their requests.

Callers of a zone get the addresses of a few of its hosts, those with the highest
capacity: each of a few hosts sees enough requests to detect failing upstreams quickly
and to keep connections open. The number grows with the zone's load. Hosts that are
stopping, suspected of a failure or without a fresh configuration are left out.
"""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["AddressAnswer", "Directories", "create"]

ANSWER_TTL_SECONDS = 2.0
# Callers of a zone with fewer hosts get those of other zones as well.
MIN_HOSTS = 2
MAX_HOSTS = 64
MAX_CACHE_AGE_SECONDS = 0.1

NO_HOSTS = Failure(
    Refusal(
        Reason.NOT_CURRENT,
        Verdict.NOT_RUN,
        "this host does not know which hosts can be used",
        ANSWER_TTL_SECONDS,
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
        if len(hosts) >= MIN_HOSTS:
            return hosts
        for other_zone in sorted({member.zone for member in members.live()}):
            if other_zone != zone:
                hosts = hosts + members.caller_hosts(other_zone)
        return hosts

    def cached_hosts(zone):
        found_at, hosts = cached_by_zone.get(zone, (float("-inf"), []))
        if now() - found_at > MAX_CACHE_AGE_SECONDS:
            hosts = find_hosts(zone)[:MAX_HOSTS]
            cached_by_zone[zone] = (now(), hosts)
        return hosts

    def answer(zone):
        addresses = [member.address for member in cached_hosts(zone)]
        if not addresses:
            return NO_HOSTS
        kernel.rng.shuffle(addresses)
        emit(
            events.ADDRESSES_GIVEN,
            zone=zone,
            hosts=",".join(addresses),
            lifetime=ANSWER_TTL_SECONDS,
        )
        return Success(AddressAnswer(tuple(addresses), ANSWER_TTL_SECONDS))

    service = Directories(answer)
    kernel.register("directories", service)
    return service
