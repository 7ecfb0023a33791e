"""Claims of an entry host on issued idempotency keys, and reports of their outcome.

The entry host of a request is the one that received it from the caller. A claim is
retried with the same attempt id until the deciding host replies. An abandoned attempt
is reported as not run, so that a claim message that arrives late can't hold the key.
"""

from typing import NamedTuple

from trefoilpin import outboxes
from trefoilpin.issuers import CLAIM, REPORT
from trefoilpin.operation_messages import Claim, ClaimReply, Decision, Report
from trefoilpin.services import Claims
from trefoilpin.verdicts import Verdict

__all__ = ["create"]

CALL_TIMEOUT_SECONDS = 0.5
CLAIM_TIMEOUT_SECONDS = 2.0
INITIAL_RETRY_DELAY_SECONDS = 0.02
MAX_RETRY_DELAY_SECONDS = 0.5
MAX_REMEMBERED_HOLDERS = 10_000
MAX_PENDING_REPORTS = 20_000
MAX_PENDING_ANSWERS = 200
NOT_HOLDER_DECISIONS = frozenset(
    decision.value for decision in (Decision.MOVED, Decision.ABSENT)
)


class ClaimState:
    """Hosts known to hold the tables of other issuers."""

    def __init__(self):
        self.holder_by_issuer: dict[str, str] = {}


class PendingClaim:
    """A claim in progress; ``may_be_held`` is True once a reply to it was lost."""

    def __init__(self, message):
        self.message = message
        self.may_be_held = False


class HolderReply(NamedTuple):
    """Result of a call to the host that holds an issuer's table.

    Attributes
    ----------
    reply : ClaimReply or ReportReply or None
    lost : bool
        True when a message may have arrived but its reply was lost.
    gone : bool
        True when the issuer and every host that may hold its table left the fleet.
    """

    reply: ClaimReply | None
    lost: bool
    gone: bool


def create(kernel):
    """Create the service ``claims``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Claims
    """
    memberships = kernel.find("memberships")
    peers = kernel.find("peers")
    issuers = kernel.find("issuers")
    departed_hosts = kernel.find("departed_hosts")
    now = kernel.clock.now
    own = memberships.own().incarnation
    state = ClaimState()
    local_by_method = {CLAIM: issuers.claim, REPORT: issuers.report}

    def call_host(holder, method, message, seconds):
        host = departed_hosts.find(holder)
        if host is None:
            return None, False
        timeout = max(min(CALL_TIMEOUT_SECONDS, seconds), 0.01)
        result = peers.call(host.peer_address, method, message, timeout)
        reply = result.value_or(None)
        if reply is None:
            return None, result.failure().may_have_arrived
        return reply, False

    def find_holder(issuer):
        if issuer in issuers.state.table_by_issuer:
            return own
        return state.holder_by_issuer.get(issuer, issuer)

    def remember_holder(issuer, holder):
        if holder == issuer:
            return
        if len(state.holder_by_issuer) >= MAX_REMEMBERED_HOLDERS:
            state.holder_by_issuer.clear()
        state.holder_by_issuer[issuer] = holder

    def call_holder(method, message, seconds):
        issuer = message.issuer
        holder = find_holder(issuer)
        asked_hosts, lost = set(), False
        gone = memberships.has_majority() and not departed_hosts.is_running(issuer)
        while holder and holder not in asked_hosts:
            asked_hosts.add(holder)
            if holder == own:
                reply = local_by_method[method](message)
            else:
                reply, reply_lost = call_host(holder, method, message, seconds)
                lost = lost or reply_lost
            if reply is None:
                gone = gone and not departed_hosts.is_running(holder)
                holder = memberships.successor(holder)
                continue
            if reply.decision not in NOT_HOLDER_DECISIONS:
                remember_holder(issuer, holder)
                return HolderReply(reply, lost, False)
            holder = reply.successor or memberships.successor(holder)
        state.holder_by_issuer.pop(issuer, None)
        return HolderReply(None, lost, gone)

    def claim(issuer, key, fingerprint, attempt_id, deadline):
        if outbox.size() >= MAX_PENDING_REPORTS:
            return ClaimReply(Decision.FULL.value)
        pending = PendingClaim(Claim(issuer, key, fingerprint, attempt_id))
        try:
            reply = wait_for_decision(pending, deadline)
        except BaseException:
            cancel(pending.message)
            raise
        if pending.may_be_held and reply.decision != Decision.GRANTED.value:
            cancel(pending.message)
        return reply

    def cancel(message):
        verdict = Verdict.NOT_RUN.value
        report(Report(message.issuer, message.key, message.attempt_id, verdict))

    def wait_for_decision(pending, deadline):
        give_up_at = min(now() + CLAIM_TIMEOUT_SECONDS, deadline)
        delay = INITIAL_RETRY_DELAY_SECONDS
        while True:
            result = call_holder(CLAIM, pending.message, deadline - now())
            pending.may_be_held = pending.may_be_held or result.lost
            if result.gone:
                return ClaimReply(Decision.UNCERTAIN.value)
            reply = result.reply or ClaimReply(Decision.UNREACHABLE.value)
            is_running = reply.decision == Decision.RUNNING.value
            if result.reply is not None and not is_running:
                return reply
            if now() + delay >= (deadline if is_running else give_up_at):
                return reply
            kernel.clock.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)

    def report(message):
        if find_holder(message.issuer) == own:
            if issuers.report(message).decision not in NOT_HOLDER_DECISIONS:
                return
        if outbox.size() >= MAX_PENDING_ANSWERS:
            message = message._replace(answer=None)
        outbox.put(message.issuer, message)

    def send_report(issuer, message):
        result = call_holder(REPORT, message, CALL_TIMEOUT_SECONDS)
        return result.reply is not None

    outbox = outboxes.create_outbox(kernel, send_report)
    service = Claims(claim, report, outbox)
    kernel.register("claims", service)
    return service
