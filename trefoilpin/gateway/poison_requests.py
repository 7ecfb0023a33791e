"""Detection of poison requests, which crash each upstream that runs them.

A request counts against its fingerprint when the connection under it broke without an
answer. One that broke several upstreams and was not answered since is refused by every
host for a while; a complete answer clears it.
"""

import hashlib
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["PoisonRequests", "create", "fingerprint"]

# Fewer could be upstreams that reset connections of any request.
UPSTREAMS_TO_REFUSE = 3
REFUSED_SECONDS = 60.0
BREAK_SECONDS = 20.0
MAX_FINGERPRINTS = 5_000
MAX_BREAKS = 32
BREAK_SHARED_SECONDS = 0.5
SEPARATOR = "\0"
FINGERPRINT_BYTES = 8


class PoisonRequests(NamedTuple):
    """``poison_requests``: requests that break upstreams.

    ``check(fingerprint)`` returns a ``Refusal`` or None. ``record_break(fingerprint,
    upstream)`` records a broken connection, ``record_answer(fingerprint)`` a complete
    answer. ``merge_breaks(broken_requests)`` takes the broken requests of other hosts,
    and ``recent_breaks()`` returns the new ones of this host.
    """

    check: Callable
    record_break: Callable
    record_answer: Callable
    merge_breaks: Callable
    recent_breaks: Callable


class SuspectRequest:
    """Upstreams that broke under one request, and until when it is refused."""

    def __init__(self):
        self.broken_at_by_upstream: dict[str, float] = {}
        self.refused_until = float("-inf")


def fingerprint(account, request):
    """Return a number of a request's caller, method, path, query and body."""
    name = account.id if account is not None else ""
    parts = (name, request.method, request.host, request.path, request.query)
    text = SEPARATOR.join(parts).encode() + request.body
    digest = hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest()
    return int.from_bytes(digest) >> 1


def create(kernel):
    """Create the service ``poison_requests``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    PoisonRequests
    """
    suspect_by_fingerprint: dict[int, SuspectRequest] = {}
    own_breaks: list[tuple[float, int, str]] = []
    now = kernel.clock.now
    emit = kernel.find("events").emit

    def check(number):
        suspect = suspect_by_fingerprint.get(number)
        if suspect is None or now() >= suspect.refused_until:
            return None
        wait = suspect.refused_until - now()
        detail = "this request broke every upstream that ran it"
        return Refusal(Reason.SUSPECT, Verdict.NOT_RUN, detail, wait)

    def record_break(number, upstream):
        own_breaks.append((now(), number, upstream))
        del own_breaks[:-MAX_BREAKS]
        count(number, upstream)

    def merge_breaks(broken_requests):
        for number, upstream in broken_requests:
            count(number, upstream)

    def count(number, upstream):
        if len(suspect_by_fingerprint) >= MAX_FINGERPRINTS:
            sweep()
        suspect = suspect_by_fingerprint.setdefault(number, SuspectRequest())
        broken = suspect.broken_at_by_upstream
        if upstream not in broken:
            broken[upstream] = now()
        recent = [at for at in broken.values() if now() - at < BREAK_SECONDS]
        if len(recent) < UPSTREAMS_TO_REFUSE or now() < suspect.refused_until:
            return
        suspect.refused_until = now() + REFUSED_SECONDS
        emit(
            events.SUSPECT_REFUSED,
            fingerprint=f"{number:016x}",
            upstreams=",".join(sorted(broken)),
            seconds=REFUSED_SECONDS,
        )

    def sweep():
        for number, suspect in list(suspect_by_fingerprint.items()):
            times = suspect.broken_at_by_upstream.values()
            if now() >= suspect.refused_until and now() - max(times) > BREAK_SECONDS:
                del suspect_by_fingerprint[number]

    def record_answer(number):
        suspect = suspect_by_fingerprint.get(number)
        if suspect is not None and now() >= suspect.refused_until:
            del suspect_by_fingerprint[number]

    def recent_breaks():
        found = []
        for at, number, upstream in own_breaks:
            if now() - at < BREAK_SHARED_SECONDS:
                found.append((number, upstream))
        return tuple(found)

    service = PoisonRequests(
        check, record_break, record_answer, merge_breaks, recent_breaks
    )
    kernel.register("poison_requests", service)
    return service
