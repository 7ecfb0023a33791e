"""Detection of poison requests, which break each upstream that runs them.

A connection that breaks without an answer counts against the request's fingerprint. A
request that broke the connections of several upstreams and was not answered since is
refused by every host for a while. A complete answer clears it.
"""

import hashlib
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["PoisonRequests", "create", "fingerprint"]

# Upstreams that a request has to break before it is refused. With fewer, the cause may
# be upstreams that reset the connections of any request.
MIN_BROKEN_UPSTREAMS = 3
REFUSAL_SECONDS = 60.0
# Breaks that are older than this do not count.
BREAK_WINDOW_SECONDS = 20.0
MAX_FINGERPRINTS = 5_000
MAX_RECENT_BREAKS = 32
# A break is sent repeatedly to the other hosts for this time.
BREAK_SHARING_SECONDS = 0.5
SEPARATOR = "\0"
FINGERPRINT_BYTES = 8


class PoisonRequests(NamedTuple):
    """``poison_requests``: requests that break upstreams.

    ``check(fingerprint)`` returns a ``Refusal`` or None. ``record_break(fingerprint,
    upstream)`` records a broken connection, ``record_answer(fingerprint)`` a complete
    answer. ``merge_breaks(broken_requests)`` takes the breaks that other hosts report,
    as pairs of a fingerprint and an upstream, and ``recent_breaks()`` returns those of
    this host.
    """

    check: Callable
    record_break: Callable
    record_answer: Callable
    merge_breaks: Callable
    recent_breaks: Callable


class SuspectRequest:
    """Upstreams that one request broke, and until when the request is refused."""

    def __init__(self):
        self.broken_at_by_upstream: dict[str, float] = {}
        self.refused_until = float("-inf")


def fingerprint(account, request):
    """Return a hash of a request's account, method, host, path, query and body."""
    account_id = account.id if account is not None else ""
    parts = (account_id, request.method, request.host, request.path, request.query)
    content = SEPARATOR.join(parts).encode() + request.body
    digest = hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES).digest()
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

    def check(request_fingerprint):
        suspect = suspect_by_fingerprint.get(request_fingerprint)
        if suspect is None or now() >= suspect.refused_until:
            return None
        retry_after = suspect.refused_until - now()
        detail = "this request broke every upstream that ran it"
        return Refusal(Reason.SUSPECT, Verdict.NOT_RUN, detail, retry_after)

    def record_break(request_fingerprint, upstream):
        own_breaks.append((now(), request_fingerprint, upstream))
        del own_breaks[:-MAX_RECENT_BREAKS]
        add_break(request_fingerprint, upstream)

    def merge_breaks(broken_requests):
        for request_fingerprint, upstream in broken_requests:
            add_break(request_fingerprint, upstream)

    def add_break(request_fingerprint, upstream):
        if len(suspect_by_fingerprint) >= MAX_FINGERPRINTS:
            expire()
        suspect = suspect_by_fingerprint.setdefault(
            request_fingerprint, SuspectRequest()
        )
        break_times = suspect.broken_at_by_upstream
        if upstream not in break_times:
            break_times[upstream] = now()
        recent = [
            at for at in break_times.values() if now() - at < BREAK_WINDOW_SECONDS
        ]
        if len(recent) < MIN_BROKEN_UPSTREAMS or now() < suspect.refused_until:
            return
        suspect.refused_until = now() + REFUSAL_SECONDS
        emit(
            events.SUSPECT_REFUSED,
            fingerprint=f"{request_fingerprint:016x}",
            upstreams=",".join(sorted(break_times)),
            seconds=REFUSAL_SECONDS,
        )

    def expire():
        for request_fingerprint, suspect in list(suspect_by_fingerprint.items()):
            times = suspect.broken_at_by_upstream.values()
            if (
                now() >= suspect.refused_until
                and now() - max(times) > BREAK_WINDOW_SECONDS
            ):
                del suspect_by_fingerprint[request_fingerprint]

    def record_answer(request_fingerprint):
        suspect = suspect_by_fingerprint.get(request_fingerprint)
        if suspect is not None and now() >= suspect.refused_until:
            del suspect_by_fingerprint[request_fingerprint]

    def recent_breaks():
        breaks = []
        for broken_at, request_fingerprint, upstream in own_breaks:
            if now() - broken_at < BREAK_SHARING_SECONDS:
                breaks.append((request_fingerprint, upstream))
        return tuple(breaks)

    service = PoisonRequests(
        check, record_break, record_answer, merge_breaks, recent_breaks
    )
    kernel.register("poison_requests", service)
    return service
