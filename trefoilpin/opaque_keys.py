"""Idempotency keys that no host issued: a conditional create in the store decides.

A claim whose outcome is unknown is read back and compared by attempt id. An attempt
that is given up leaves a free record behind, so that a create or an update which
takes effect late finds it and fails. Nothing is granted without the store.
"""

from typing import NamedTuple

from returns.result import Failure, Success

from trefoilpin import events, outboxes
from trefoilpin.key_tables import KeyState, entry_host
from trefoilpin.operation_messages import ClaimReply, Decision, Report, SavedAnswer
from trefoilpin.services import OpaqueKeys, StoreOutcome
from trefoilpin.verdicts import Verdict

__all__ = ["PREFIX", "OpaqueBounds", "StoredClaim", "create"]

PREFIX = "operations/"
UNKNOWN_FINGERPRINT = ""
CALLS_PER_OPERATION = 3
BURST_CALLS = 30.0
CLAIM_SECONDS = 5.0
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0
MAX_WAITING_REPORTS = 5_000
MAX_WAITING_ANSWERS = 200
DAY_SECONDS = 86_400.0
CLOCK_MARGIN_SECONDS = DAY_SECONDS
SWEEP_SECONDS = 60.0
SWEEPER = "operations.sweep"


class StoredClaim(NamedTuple):
    """A key's record in the store; ``claimed_at`` is in seconds since the epoch."""

    attempt_id: str
    fingerprint: str
    state: str
    claimed_at: float
    answer: SavedAnswer | None = None


class OpaqueBounds(NamedTuple):
    """Store calls a second of the whole fleet, and days that claims are kept."""

    calls_per_second: float
    days: float


class OpaqueState:
    """Budget of calls to the store, and where the sweep stands."""

    def __init__(self, instant):
        self.calls_left = BURST_CALLS
        self.refilled_at = instant
        self.swept_to = PREFIX


class Pending:
    """One claim under way."""

    def __init__(self, path, row):
        self.path = path
        self.row = row
        self.may_be_written = False


def create(kernel, bounds, encode, decode):
    """Create the service ``opaque_keys``.

    Parameters
    ----------
    kernel : Kernel
    bounds : OpaqueBounds
    encode, decode : callable
        Between ``StoredClaim`` and what the store holds.

    Returns
    -------
    OpaqueKeys
    """
    store = kernel.find("store")
    memberships = kernel.find("memberships")
    departed_hosts = kernel.find("departed_hosts")
    emit = kernel.find("events").emit
    now, wall = kernel.clock.now, kernel.clock.wall
    state = OpaqueState(now())

    def take_calls(count):
        share = bounds.calls_per_second / max(len(memberships.live()), 1)
        gained = (now() - state.refilled_at) * share
        state.calls_left = min(BURST_CALLS, state.calls_left + gained)
        state.refilled_at = now()
        if state.calls_left < count:
            return False
        state.calls_left -= count
        return True

    def claim(key, fingerprint, attempt_id, deadline):
        waiting = outbox.size() >= MAX_WAITING_REPORTS
        if waiting or not take_calls(CALLS_PER_OPERATION):
            return ClaimReply(Decision.UNREACHABLE.value)
        row = StoredClaim(attempt_id, fingerprint.hex(), KeyState.GRANTED.value, wall())
        pending = Pending(PREFIX + key.hex(), row)
        try:
            reply = wait_for_decision(pending, deadline)
        except BaseException:
            give_up(key, pending)
            raise
        if pending.may_be_written and reply.decision != Decision.GRANTED.value:
            give_up(key, pending)
        return reply

    def give_up(key, pending):
        report(Report("", key, pending.row.attempt_id, Verdict.NOT_RUN.value))

    def wait_for_decision(pending, deadline):
        give_up_at = min(now() + CLAIM_SECONDS, deadline)
        delay = FIRST_DELAY_SECONDS
        reply = claim_once(pending)
        while reply is None or reply.decision == Decision.RUNNING.value:
            limit = deadline if reply else give_up_at
            if now() + delay >= limit or not take_calls(1):
                return reply or ClaimReply(Decision.UNREACHABLE.value)
            kernel.clock.sleep(delay)
            delay = min(delay * 2, MAX_DELAY_SECONDS)
            reply = decide(pending) if reply else claim_once(pending)
        return reply

    def is_written(pending, result):
        if isinstance(result, Success):
            return True
        if result.failure().outcome is StoreOutcome.UNKNOWN:
            pending.may_be_written = True
        return False

    def claim_once(pending):
        created = store.create(pending.path, encode(pending.row))
        if is_written(pending, created):
            return ClaimReply(Decision.GRANTED.value)
        return decide(pending)

    def decide(pending):
        result = store.get(pending.path)
        if isinstance(result, Failure):
            return None
        stored = result.unwrap()
        held = decode(stored.value)
        if held.attempt_id == pending.row.attempt_id:
            return ClaimReply(Decision.GRANTED.value)
        if held.fingerprint not in (UNKNOWN_FINGERPRINT, pending.row.fingerprint):
            return ClaimReply(Decision.REUSED.value)
        held_state = KeyState(held.state)
        if held_state is KeyState.FREE:
            row = encode(pending.row)
            updated = store.update(pending.path, row, stored.version)
            written = is_written(pending, updated)
            return ClaimReply(Decision.GRANTED.value) if written else None
        if held_state is KeyState.RAN:
            return ClaimReply(Decision.RAN.value, answer=held.answer)
        granted = held_state is KeyState.GRANTED
        if granted and departed_hosts.is_running(entry_host(held.attempt_id)):
            return ClaimReply(Decision.RUNNING.value)
        return ClaimReply(Decision.UNCERTAIN.value)

    def report(message):
        if outbox.size() >= MAX_WAITING_ANSWERS:
            message = message._replace(answer=None)
        outbox.put(PREFIX + message.key.hex(), message)

    def send_report(path, message):
        result = store.get(path)
        if isinstance(result, Failure):
            missing = result.failure().missing
            return missing and settle_missing(path, message)
        stored = result.unwrap()
        held = decode(stored.value)
        ours = held.attempt_id == message.attempt_id
        granted = held.state == KeyState.GRANTED.value
        if ours and granted:
            row = settled(held, message)
        elif not ours and held.state == KeyState.FREE.value:
            row = held._replace(attempt_id=message.attempt_id)
        else:
            return True
        return isinstance(store.update(path, encode(row), stored.version), Success)

    def settle_missing(path, message):
        """Leave a free record that a late create will find."""
        row = StoredClaim(
            message.attempt_id, UNKNOWN_FINGERPRINT, KeyState.FREE.value, wall()
        )
        return isinstance(store.create(path, encode(row)), Success)

    def settled(held, message):
        verdict = Verdict(message.verdict)
        if verdict is Verdict.NOT_RUN:
            return held._replace(state=KeyState.FREE.value)
        if verdict is Verdict.MAY_HAVE_RUN:
            return held._replace(state=KeyState.UNCERTAIN.value)
        return held._replace(state=KeyState.RAN.value, answer=message.answer)

    def sweep_once():
        """Delete the expired claims of one page; only one host of the fleet does."""
        own = memberships.own().incarnation
        if memberships.first(SWEEPER).incarnation != own or not take_calls(1):
            return 0
        listed = store.list(PREFIX, state.swept_to).value_or(())
        state.swept_to = listed[-1].path if listed else PREFIX
        swept = 0
        for stored in listed:
            age = wall() - decode(stored.value).claimed_at
            if age < bounds.days * DAY_SECONDS + CLOCK_MARGIN_SECONDS:
                continue
            if not take_calls(1):
                break
            swept += isinstance(store.delete(stored.path, stored.version), Success)
        if swept:
            emit(events.CLAIMS_SWEPT, claims=swept)
        return swept

    def sweep_forever():
        while True:
            kernel.clock.sleep(SWEEP_SECONDS)
            sweep_once()

    outbox = outboxes.create_outbox(kernel, send_report)
    service = OpaqueKeys(claim, report, sweep_once, outbox)
    kernel.register("opaque_keys", service, lambda: kernel.spawn(sweep_forever))
    return service
