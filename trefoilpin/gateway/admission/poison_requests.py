"""Detection of poison requests, which break each upstream that runs them.

A connection that breaks without an answer counts against the request's fingerprint. A
request that broke the connections of several upstreams and was not answered since is
refused by every host for a while, twice as long each time. A complete answer at any
host clears it. An upstream that crashed and started again counts once more. Each host
passes on what it learns, see ``break_reports``.

A connection that was idle for long may have been closed before the request reached its
upstream, so its break counts against no request. Such a request is sent over new
connections until it is answered, so that its next break counts.
"""

import hashlib
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.admission import break_reports
from trefoilpin.gateway.admission.break_reports import Audience
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["PoisonRequests", "create", "fingerprint", "name_incarnation"]

# Upstreams that a request has to break before it is refused. With fewer, the cause may
# be upstreams that reset the connections of any request.
MIN_BROKEN_UPSTREAMS = 3
REFUSAL_SECONDS = 60.0
MAX_REFUSAL_SECONDS = 3600.0
# Breaks that are older than this do not count. A request may come again rarely.
BREAK_WINDOW_SECONDS = 600.0
MAX_FINGERPRINTS = 5_000
# Requests that broke an idle connection and were not answered since.
MAX_DOUBTED = 1_000
# Breaks that an answer cleared. Hosts that still refuse the request go on telling them.
MAX_CLEARED = 2_000
# Of a request, the incarnations that are remembered.
MAX_INCARNATIONS = 32
# Hosts begin to refuse a request this long after each other at most. A break so soon
# before the end of a refusal came after the end of that of another host.
MAX_REFUSAL_SPREAD_SECONDS = 5.0
# Refused requests whose breaks hosts are told again.
MAX_REPEATED = 10
SEPARATOR = "\0"
FINGERPRINT_BYTES = 8


class PoisonRequests(NamedTuple):
    """``poison_requests``: requests that break upstreams.

    ``check(fingerprint)`` returns a ``Refusal`` or None. ``is_suspect(fingerprint)``
    tells whether a connection broke under the request since its last answer.
    ``record_break(fingerprint, incarnation)`` records a broken connection to an
    incarnation of an upstream, ``record_doubt(fingerprint)`` one that may have been
    closed before, and ``record_answer(fingerprint)`` a complete answer.
    ``merge_breaks(broken_requests, is_same_zone)`` takes the breaks that another host
    reports, as pairs of a fingerprint and an incarnation, and
    ``merge_answers(fingerprints, is_same_zone)`` the answers to requests that had
    broken upstreams. ``recent_breaks(audience)`` and ``recent_answers(audience)``
    return those to send, and ``introduced_breaks()`` the breaks for a host that starts.
    """

    check: Callable
    is_suspect: Callable[[int], bool]
    record_break: Callable
    record_doubt: Callable[[int], None]
    record_answer: Callable
    merge_breaks: Callable
    merge_answers: Callable
    recent_breaks: Callable
    recent_answers: Callable
    introduced_breaks: Callable[[], tuple]


class SuspectRequest:
    """Upstreams that one request broke, and until when the request is refused.

    Attributes
    ----------
    was_refused : bool
        True from the first refusal on; the next break refuses the request again.
    """

    def __init__(self):
        self.was_refused = False
        self.broken_at_by_incarnation: dict[str, float] = {}
        self.refused_until = float("-inf")
        self.refusal_seconds = REFUSAL_SECONDS


def name_incarnation(upstream):
    """Return a name that an upstream has until it starts again."""
    return f"{upstream.id}/{upstream.born}"


def fingerprint(account, request):
    """Return a hash of a request's account, method, host, path, query and body."""
    account_id = account.id if account is not None else ""
    parts = (account_id, request.method, request.host, request.path, request.query)
    content = SEPARATOR.join(parts).encode()
    hashed = hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES)
    hashed.update(request.body)
    return int.from_bytes(hashed.digest()) >> 1


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
    doubted: dict[int, None] = {}
    refused: dict[int, None] = {}
    cleared: dict[tuple[int, str], None] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")

    def check(request_fingerprint):
        suspect = suspect_by_fingerprint.get(request_fingerprint)
        if suspect is None or now() >= suspect.refused_until:
            return None
        retry_after = suspect.refused_until - now()
        detail = "this request broke every upstream that ran it"
        return Refusal(Reason.SUSPECT, Verdict.NOT_RUN, detail, retry_after)

    def is_suspect(request_fingerprint):
        is_doubted = request_fingerprint in doubted
        return is_doubted or request_fingerprint in suspect_by_fingerprint

    def record_doubt(request_fingerprint):
        doubted[request_fingerprint] = None
        if len(doubted) > MAX_DOUBTED:
            del doubted[next(iter(doubted))]

    def record_break(request_fingerprint, incarnation):
        cleared.pop((request_fingerprint, incarnation), None)
        reports.add_break((request_fingerprint, incarnation), True, True)
        add_break(request_fingerprint, incarnation)

    def merge_breaks(broken_requests, is_same_zone=False):
        for request_fingerprint, incarnation in broken_requests:
            suspect = suspect_by_fingerprint.get(request_fingerprint)
            if suspect and incarnation in suspect.broken_at_by_incarnation:
                continue
            item = (request_fingerprint, incarnation)
            if item not in cleared and reports.add_break(item, False, is_same_zone):
                add_break(request_fingerprint, incarnation)

    def add_break(request_fingerprint, incarnation):
        suspect = suspect_by_fingerprint.get(request_fingerprint)
        if suspect is None:
            make_room()
            suspect = suspect_by_fingerprint[request_fingerprint] = SuspectRequest()
        break_times = suspect.broken_at_by_incarnation
        break_times.setdefault(incarnation, now())
        if len(break_times) > MAX_INCARNATIONS:
            del break_times[next(iter(break_times))]
        if now() < last_refused(suspect) or not is_poison(suspect):
            return
        seconds = suspect.refusal_seconds
        suspect.was_refused = True
        suspect.refused_until = now() + seconds
        suspect.refusal_seconds = min(2 * seconds, MAX_REFUSAL_SECONDS)
        refused.pop(request_fingerprint, None)
        refused[request_fingerprint] = None
        emit(
            events.SUSPECT_REFUSED,
            fingerprint=f"{request_fingerprint:016x}",
            upstreams=",".join(sorted(break_times)),
            seconds=seconds,
        )

    def last_refused(suspect):
        """Return the time from which on a break counts as one after the refusal."""
        return suspect.refused_until - MAX_REFUSAL_SPREAD_SECONDS

    def is_poison(suspect):
        """Tell whether a request broke enough upstreams, or one after a refusal."""
        break_times = suspect.broken_at_by_incarnation.values()
        if suspect.was_refused:
            return max(break_times) >= last_refused(suspect)
        recent = [at for at in break_times if now() - at < BREAK_WINDOW_SECONDS]
        return len(recent) >= MIN_BROKEN_UPSTREAMS

    def make_room():
        """Forget the request whose first break is the oldest, if there are too many."""
        if len(suspect_by_fingerprint) < MAX_FINGERPRINTS:
            return
        metrics.count("suspects_forgotten")
        for request_fingerprint, suspect in suspect_by_fingerprint.items():
            if now() >= suspect.refused_until:
                del suspect_by_fingerprint[request_fingerprint]
                return
        del suspect_by_fingerprint[next(iter(suspect_by_fingerprint))]

    def record_answer(request_fingerprint):
        doubted.pop(request_fingerprint, None)
        if clear(request_fingerprint):
            reports.add_answer(request_fingerprint, True, True, True)

    def merge_answers(fingerprints, is_same_zone=False):
        for request_fingerprint in fingerprints:
            has_cleared = clear(request_fingerprint)
            reports.add_answer(request_fingerprint, False, is_same_zone, has_cleared)

    def clear(request_fingerprint):
        """Clear a request; return False when it broke no upstream or is refused."""
        suspect = suspect_by_fingerprint.get(request_fingerprint)
        if suspect is None or now() < suspect.refused_until:
            return False
        del suspect_by_fingerprint[request_fingerprint]
        for incarnation in suspect.broken_at_by_incarnation:
            cleared[request_fingerprint, incarnation] = None
            if len(cleared) > MAX_CLEARED:
                del cleared[next(iter(cleared))]
        return True

    def refused_breaks():
        """Return breaks for which requests are refused, enough for another host."""
        breaks = []
        for request_fingerprint in list(refused):
            suspect = suspect_by_fingerprint.get(request_fingerprint)
            if suspect is None or now() >= suspect.refused_until:
                del refused[request_fingerprint]
                continue
            incarnations = list(suspect.broken_at_by_incarnation)
            for incarnation in incarnations[-MIN_BROKEN_UPSTREAMS:]:
                breaks.append((request_fingerprint, incarnation))
        return tuple(breaks[-MAX_REPEATED * MIN_BROKEN_UPSTREAMS :])

    def recent_breaks(audience=Audience.OTHERS):
        return reports.due_breaks(audience)

    def recent_answers(audience=Audience.OTHERS):
        return reports.due_answers(audience)

    reports = break_reports.create(now, refused_breaks)
    service = PoisonRequests(
        check,
        is_suspect,
        record_break,
        record_doubt,
        record_answer,
        merge_breaks,
        merge_answers,
        recent_breaks,
        recent_answers,
        refused_breaks,
    )
    kernel.register("poison_requests", service)
    return service
