"""Quarantine of poison requests, which break each upstream that runs them.

Broken connections count against the fingerprint of the request, which includes the
client account, so that no caller can have another account's requests refused. Two rules
protect a request that was merely in flight when another one broke its upstream: a
complete answer clears it, and while a request of another account broke the same
upstreams, both need one more break before they are refused, up to
``UPSTREAMS_TO_BE_CERTAIN``. The decision waits ``PROPAGATION_SECONDS`` for the notices
of other hosts.
"""

from trefoilpin import events
from trefoilpin.services import PoisonRequests
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

BROKEN_TOPIC = "quarantines.broken"
CLEARED_TOPIC = "quarantines.cleared"
UPSTREAMS_TO_QUARANTINE = 2
UPSTREAMS_TO_BE_CERTAIN = 4
PROPAGATION_SECONDS = 1.0
SUSPICION_LIFETIME_SECONDS = 120.0
MAX_SUSPECTS = 10_000
MAX_PUBLISHED_NOTICES = 200


class Suspect:
    """A fingerprint whose requests broke connections to upstreams.

    Attributes
    ----------
    account : str
        Empty on a route open to all.
    expires_at_by_upstream : dict
        When the break of each upstream stops counting.
    required_upstreams : int
        Broken upstreams at which a decision is scheduled.
    decision_at : float or None
        Time of the scheduled decision.
    refused_until : float or None
        End of the quarantine.
    """

    def __init__(self, account):
        self.account = account
        self.expires_at_by_upstream: dict[str, float] = {}
        self.required_upstreams = UPSTREAMS_TO_QUARANTINE
        self.decision_at = None
        self.refused_until = None


class QuarantineState:
    """Suspect fingerprints, and when the notices of this host expire."""

    def __init__(self):
        self.suspect_by_fingerprint: dict[str, Suspect] = {}
        self.cleared_at_by_fingerprint: dict[str, float] = {}
        self.published_expiries: list[float] = []


def broken_upstreams(suspect, now):
    """Return the upstreams whose breaks have not expired."""
    return {
        upstream
        for upstream, expires_at in suspect.expires_at_by_upstream.items()
        if expires_at > now
    }


def is_shared(suspects, suspect, now):
    """Tell whether a request of another account broke the same upstreams.

    On a route open to all, each request counts as being of another account.
    """
    broken = broken_upstreams(suspect, now)
    for other in suspects:
        if other is suspect or other.account == suspect.account != "":
            continue
        if broken <= broken_upstreams(other, now):
            return True
    return False


def is_expired(suspect, now):
    """Tell whether the quarantine has ended, or all breaks have expired without one."""
    if suspect.refused_until is not None:
        return suspect.refused_until <= now
    return not broken_upstreams(suspect, now)


def create(kernel, quarantine_seconds):
    """Create the service ``poison_requests``.

    Parameters
    ----------
    kernel : Kernel
    quarantine_seconds : float
        Duration of a quarantine.

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
        if is_expired(suspect, now()):
            del suspects[fingerprint]
            return None
        if suspect.decision_at is not None and suspect.decision_at <= now():
            decide(fingerprint, suspect)
        if suspect.refused_until is not None:
            return build_refusal(
                "broke every upstream that ran it", suspect.refused_until
            )
        if suspect.decision_at is not None:
            return build_refusal(
                "is examined for breaking upstreams", suspect.decision_at
            )
        return None

    def build_refusal(cause, until):
        detail = f"this request {cause}; this send did not run"
        return Refusal(Reason.QUARANTINED, Verdict.NOT_RUN, detail, until - now())

    def decide(fingerprint, suspect):
        suspect.decision_at = None
        broken = broken_upstreams(suspect, now())
        is_certain = len(broken) >= UPSTREAMS_TO_BE_CERTAIN
        if not is_certain and is_shared(suspects.values(), suspect, now()):
            suspect.required_upstreams = len(broken) + 1
            return
        suspect.refused_until = now() + quarantine_seconds
        emit(
            events.REQUEST_QUARANTINED,
            fingerprint=fingerprint,
            account=suspect.account or None,
            upstreams=",".join(sorted(broken)),
            seconds=quarantine_seconds,
        )

    def record_break(fingerprint, upstream, account):
        add_break(fingerprint, upstream, account, now() + SUSPICION_LIFETIME_SECONDS)
        state.published_expiries = [
            end for end in state.published_expiries if end > now()
        ]
        if len(state.published_expiries) >= MAX_PUBLISHED_NOTICES:
            return
        state.published_expiries.append(now() + SUSPICION_LIFETIME_SECONDS)
        key = f"{fingerprint} {upstream}"
        notices.publish(BROKEN_TOPIC, key, account, SUSPICION_LIFETIME_SECONDS)

    def on_break_notice(notice):
        fingerprint, _, upstream = notice.key.partition(" ")
        add_break(fingerprint, upstream, notice.value, notice.expires_at)

    def add_break(fingerprint, upstream, account, expires_at):
        cleared_at = state.cleared_at_by_fingerprint.get(fingerprint)
        broken_at = expires_at - SUSPICION_LIFETIME_SECONDS
        if expires_at <= now() or (cleared_at is not None and broken_at <= cleared_at):
            return
        suspect = suspects.get(fingerprint)
        if suspect is None:
            if len(suspects) >= MAX_SUSPECTS:
                drop_expired()
            if len(suspects) >= MAX_SUSPECTS:
                return
            suspect = suspects[fingerprint] = Suspect(account)
        suspect.expires_at_by_upstream[upstream] = expires_at
        if suspect.decision_at is not None or suspect.refused_until is not None:
            return
        if len(broken_upstreams(suspect, now())) >= suspect.required_upstreams:
            suspect.decision_at = now() + PROPAGATION_SECONDS

    def drop_expired():
        for fingerprint, suspect in list(suspects.items()):
            if is_expired(suspect, now()):
                del suspects[fingerprint]

    def record_answer(fingerprint):
        if fingerprint not in suspects:
            return
        clear(fingerprint, now())
        notices.publish(CLEARED_TOPIC, fingerprint, "", SUSPICION_LIFETIME_SECONDS)

    def clear(fingerprint, cleared_at):
        suspects.pop(fingerprint, None)
        if len(state.cleared_at_by_fingerprint) >= MAX_SUSPECTS:
            state.cleared_at_by_fingerprint.clear()
        state.cleared_at_by_fingerprint[fingerprint] = cleared_at

    def on_clear_notice(notice):
        clear(notice.key, notice.expires_at - SUSPICION_LIFETIME_SECONDS)

    notices.subscribe(BROKEN_TOPIC, on_break_notice)
    notices.subscribe(CLEARED_TOPIC, on_clear_notice)
    service = PoisonRequests(check, record_break, record_answer)
    kernel.register("poison_requests", service)
    return service
