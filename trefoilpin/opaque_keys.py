"""Idempotency keys that no host issued: a conditional create in the store decides.

A claim whose outcome is unknown is read back and compared by attempt id. An abandoned
attempt leaves a free record in the store, so that a create or update of it that takes
effect late fails. No key is granted while the store is unreachable.
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
CLAIM_TIMEOUT_SECONDS = 5.0
INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 1.0
MAX_PENDING_REPORTS = 5_000
MAX_PENDING_ANSWERS = 200
DAY_SECONDS = 86_400.0
CLOCK_MARGIN_SECONDS = DAY_SECONDS
SWEEP_INTERVAL_SECONDS = 60.0
SWEEP_ROLE = "operations.sweep"


class StoredClaim(NamedTuple):
    """Record of a key in the store; ``claimed_at`` is in seconds since the epoch."""

    attempt_id: str
    fingerprint: str
    state: str
    claimed_at: float
    answer: SavedAnswer | None = None


class OpaqueBounds(NamedTuple):
    """Store calls a second of the whole fleet, and days for which claims are stored."""

    calls_per_second: float
    days: float


class OpaqueState:
    """Budget of calls to the store, and the position of the sweep."""

    def __init__(self, started_at):
        self.calls_left = BURST_CALLS
        self.refilled_at = started_at
        self.swept_to = PREFIX


class PendingClaim:
    """A claim in progress; ``may_be_written`` once a write had an unknown outcome."""

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
        Convert between ``StoredClaim`` and the JSON value in the store.

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

    def spend_calls(count):
        share = bounds.calls_per_second / max(len(memberships.live()), 1)
        refilled = (now() - state.refilled_at) * share
        state.calls_left = min(BURST_CALLS, state.calls_left + refilled)
        state.refilled_at = now()
        if state.calls_left < count:
            return False
        state.calls_left -= count
        return True

    def claim(key, fingerprint, attempt_id, deadline):
        has_backlog = outbox.size() >= MAX_PENDING_REPORTS
        if has_backlog or not spend_calls(CALLS_PER_OPERATION):
            return ClaimReply(Decision.UNREACHABLE.value)
        row = StoredClaim(attempt_id, fingerprint.hex(), KeyState.GRANTED.value, wall())
        pending = PendingClaim(PREFIX + key.hex(), row)
        try:
            reply = wait_for_decision(pending, deadline)
        except BaseException:
            cancel(key, pending)
            raise
        if pending.may_be_written and reply.decision != Decision.GRANTED.value:
            cancel(key, pending)
        return reply

    def cancel(key, pending):
        report(Report("", key, pending.row.attempt_id, Verdict.NOT_RUN.value))

    def wait_for_decision(pending, deadline):
        give_up_at = min(now() + CLAIM_TIMEOUT_SECONDS, deadline)
        delay = INITIAL_RETRY_DELAY_SECONDS
        reply = claim_once(pending)
        while reply is None or reply.decision == Decision.RUNNING.value:
            retry_until = deadline if reply else give_up_at
            if now() + delay >= retry_until or not spend_calls(1):
                return reply or ClaimReply(Decision.UNREACHABLE.value)
            kernel.clock.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)
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
        is_granted = held_state is KeyState.GRANTED
        if is_granted and departed_hosts.is_running(entry_host(held.attempt_id)):
            return ClaimReply(Decision.RUNNING.value)
        return ClaimReply(Decision.UNCERTAIN.value)

    def report(message):
        if outbox.size() >= MAX_PENDING_ANSWERS:
            message = message._replace(answer=None)
        outbox.put(PREFIX + message.key.hex(), message)

    def send_report(path, message):
        result = store.get(path)
        if isinstance(result, Failure):
            missing = result.failure().missing
            return missing and create_free_record(path, message)
        stored = result.unwrap()
        held = decode(stored.value)
        is_own = held.attempt_id == message.attempt_id
        is_granted = held.state == KeyState.GRANTED.value
        if is_own and is_granted:
            row = apply_report(held, message)
        elif not is_own and held.state == KeyState.FREE.value:
            row = held._replace(attempt_id=message.attempt_id)
        else:
            return True
        return isinstance(store.update(path, encode(row), stored.version), Success)

    def create_free_record(path, message):
        """Create a free record, which makes a late create fail."""
        row = StoredClaim(
            message.attempt_id, UNKNOWN_FINGERPRINT, KeyState.FREE.value, wall()
        )
        return isinstance(store.create(path, encode(row)), Success)

    def apply_report(held, message):
        verdict = Verdict(message.verdict)
        if verdict is Verdict.NOT_RUN:
            return held._replace(state=KeyState.FREE.value)
        if verdict is Verdict.MAY_HAVE_RUN:
            return held._replace(state=KeyState.UNCERTAIN.value)
        return held._replace(state=KeyState.RAN.value, answer=message.answer)

    def sweep_once():
        """Delete the expired claims of one page; only one host of the fleet does so."""
        own = memberships.own().incarnation
        if memberships.first(SWEEP_ROLE).incarnation != own or not spend_calls(1):
            return 0
        listed = store.list(PREFIX, state.swept_to).value_or(())
        state.swept_to = listed[-1].path if listed else PREFIX
        deleted_count = 0
        for stored in listed:
            age = wall() - decode(stored.value).claimed_at
            if age < bounds.days * DAY_SECONDS + CLOCK_MARGIN_SECONDS:
                continue
            if not spend_calls(1):
                break
            deleted_count += isinstance(
                store.delete(stored.path, stored.version), Success
            )
        if deleted_count:
            emit(events.CLAIMS_SWEPT, claims=deleted_count)
        return deleted_count

    def sweep_forever():
        while True:
            kernel.clock.sleep(SWEEP_INTERVAL_SECONDS)
            sweep_once()

    outbox = outboxes.create_outbox(kernel, send_report)
    service = OpaqueKeys(claim, report, sweep_once, outbox)
    kernel.register("opaque_keys", service, lambda: kernel.spawn(sweep_forever))
    return service
