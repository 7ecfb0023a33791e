"""Requests that break each upstream that runs them are refused across the fleet.

A break counts against a fingerprint, which holds the client account, so no caller
can act on another's fingerprint. A request that was only in flight when another one
broke the upstream is told apart in two ways: a whole answer clears it, and where a
request of another account broke the same upstreams too, one more must break before
either is refused, up to a number that leaves no doubt. Breaks of other hosts get time
to arrive before that is judged.
"""

from trefoilpin import events
from trefoilpin.services import PoisonRequests
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

BROKEN_TOPIC = "quarantines.broken"
CLEARED_TOPIC = "quarantines.cleared"
UPSTREAMS_TO_QUARANTINE = 2
UPSTREAMS_TO_BE_CERTAIN = 4
SETTLE_SECONDS = 1.0
SUSPECT_SECONDS = 120.0
MAX_SUSPECTS = 10_000
MAX_PUBLISHED = 200


class Suspect:
    """A fingerprint that broke upstreams.

    Attributes
    ----------
    account : str
        Empty on a route open to all.
    expires_at_by_upstream : dict
        Breaks that still count.
    wanted : int
        Upstreams that must break before it is judged.
    judged_at, refused_until : float or None
    """

    def __init__(self, account):
        self.account = account
        self.expires_at_by_upstream: dict[str, float] = {}
        self.wanted = UPSTREAMS_TO_QUARANTINE
        self.judged_at = None
        self.refused_until = None


class QuarantineState:
    """Suspects by fingerprint, and what this host published."""

    def __init__(self):
        self.suspect_by_fingerprint: dict[str, Suspect] = {}
        self.cleared_at_by_fingerprint: dict[str, float] = {}
        self.published_until: list[float] = []


def broken_upstreams(suspect, now):
    """Return the upstreams whose break still counts."""
    return {
        upstream
        for upstream, expires_at in suspect.expires_at_by_upstream.items()
        if expires_at > now
    }


def is_shared(suspects, suspect, now):
    """Tell whether the request of someone else broke the same upstreams too.

    On a route open to all every other request may be someone else's.
    """
    broken = broken_upstreams(suspect, now)
    for other in suspects:
        if other is suspect or other.account == suspect.account != "":
            continue
        if broken <= broken_upstreams(other, now):
            return True
    return False


def is_over(suspect, now):
    """Tell whether nothing counts against a suspect any more."""
    if suspect.refused_until is not None:
        return suspect.refused_until <= now
    return not broken_upstreams(suspect, now)


def create(kernel, seconds):
    """Create the service ``poison_requests``.

    Parameters
    ----------
    kernel : Kernel
    seconds : float
        Time for which a fingerprint is refused.

    Returns
    -------
    PoisonRequests
    """
    notices = kernel.find("notices")
    emit = kernel.find("events").emit
    now = kernel.clock.now
    state = QuarantineState()
    suspects = state.suspect_by_fingerprint

    def check(fingerprint):
        suspect = suspects.get(fingerprint)
        if suspect is None:
            return None
        if is_over(suspect, now()):
            del suspects[fingerprint]
            return None
        if suspect.judged_at is not None and suspect.judged_at <= now():
            judge(fingerprint, suspect)
        if suspect.refused_until is not None:
            return refuse("broke every upstream that ran it", suspect.refused_until)
        if suspect.judged_at is not None:
            return refuse("is examined for breaking upstreams", suspect.judged_at)
        return None

    def refuse(what, until):
        detail = f"this request {what}; this send did not run"
        return Refusal(Reason.QUARANTINED, Verdict.NOT_RUN, detail, until - now())

    def judge(fingerprint, suspect):
        suspect.judged_at = None
        broken = broken_upstreams(suspect, now())
        certain = len(broken) >= UPSTREAMS_TO_BE_CERTAIN
        if not certain and is_shared(suspects.values(), suspect, now()):
            suspect.wanted = len(broken) + 1
            return
        suspect.refused_until = now() + seconds
        emit(
            events.REQUEST_QUARANTINED,
            fingerprint=fingerprint,
            account=suspect.account or None,
            upstreams=",".join(sorted(broken)),
            seconds=seconds,
        )

    def record_break(fingerprint, upstream, account):
        count(fingerprint, upstream, account, now() + SUSPECT_SECONDS)
        state.published_until = [end for end in state.published_until if end > now()]
        if len(state.published_until) >= MAX_PUBLISHED:
            return
        state.published_until.append(now() + SUSPECT_SECONDS)
        key = f"{fingerprint} {upstream}"
        notices.publish(BROKEN_TOPIC, key, account, SUSPECT_SECONDS)

    def learn(notice):
        fingerprint, _, upstream = notice.key.partition(" ")
        count(fingerprint, upstream, notice.value, notice.expires_at)

    def count(fingerprint, upstream, account, expires_at):
        cleared_at = state.cleared_at_by_fingerprint.get(fingerprint)
        broken_at = expires_at - SUSPECT_SECONDS
        if expires_at <= now() or (cleared_at is not None and broken_at <= cleared_at):
            return
        suspect = suspects.get(fingerprint)
        if suspect is None:
            if len(suspects) >= MAX_SUSPECTS:
                drop_over()
            if len(suspects) >= MAX_SUSPECTS:
                return
            suspect = suspects[fingerprint] = Suspect(account)
        suspect.expires_at_by_upstream[upstream] = expires_at
        if suspect.judged_at is not None or suspect.refused_until is not None:
            return
        if len(broken_upstreams(suspect, now())) >= suspect.wanted:
            suspect.judged_at = now() + SETTLE_SECONDS

    def drop_over():
        for fingerprint, suspect in list(suspects.items()):
            if is_over(suspect, now()):
                del suspects[fingerprint]

    def record_answer(fingerprint):
        if fingerprint not in suspects:
            return
        clear(fingerprint, now())
        notices.publish(CLEARED_TOPIC, fingerprint, "", SUSPECT_SECONDS)

    def clear(fingerprint, cleared_at):
        suspects.pop(fingerprint, None)
        if len(state.cleared_at_by_fingerprint) >= MAX_SUSPECTS:
            state.cleared_at_by_fingerprint.clear()
        state.cleared_at_by_fingerprint[fingerprint] = cleared_at

    def learn_cleared(notice):
        clear(notice.key, notice.expires_at - SUSPECT_SECONDS)

    notices.subscribe(BROKEN_TOPIC, learn)
    notices.subscribe(CLEARED_TOPIC, learn_cleared)
    service = PoisonRequests(check, record_break, record_answer)
    kernel.register("poison_requests", service)
    return service
