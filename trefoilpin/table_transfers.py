"""Transfer of a stopping host's key tables to its successor, in bounded parts.

The stopping host stops deciding before it sends the first part, and the successor
starts deciding when all parts have arrived. If a transfer does not complete, no host
decides on its keys.
"""

import hashlib
import itertools

from trefoilpin import answers, events, key_tables
from trefoilpin.key_tables import KeyState, Row
from trefoilpin.operation_messages import (
    DIGEST_BYTES,
    AnswerRow,
    TableEnd,
    TablePart,
    TableReply,
)
from trefoilpin.services import TableTransfers

__all__ = [
    "END",
    "PART",
    "IncomingTable",
    "add_part",
    "create",
    "split_table",
    "update_digest",
]

PART = "operations.table_part"
END = "operations.table_end"
PART_ROWS = 200
PART_ANSWER_BYTES = 65_536
DIGEST_WIDTH = DIGEST_BYTES
MAX_INCOMING_TABLES = 16
CALL_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.1


class IncomingTable:
    """A table of which some parts have arrived, in order."""

    def __init__(self):
        self.table = key_tables.KeyTable()
        self.answers: list[AnswerRow] = []
        self.parts = 0
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)


class TransferState:
    """State of incoming and outgoing transfers.

    Attributes
    ----------
    incoming_by_source : dict
        Incomplete tables by sender and issuer.
    offered_to_by_issuer : dict
        Incarnation that may have the complete table; no other one is offered the table
        unless this one refuses it.
    """

    def __init__(self):
        self.incoming_by_source: dict[tuple[str, str], IncomingTable] = {}
        self.offered_to_by_issuer: dict[str, str] = {}


def update_digest(digest, part):
    """Update the digest of a table with the rows of a part."""
    attempts = " ".join(part.attempts + part.cancelled)
    digest.update(f"{part.number} {part.states} {attempts} ".encode())
    digest.update(part.keys + part.fingerprints)


def to_rows(part):
    """Yield the rows of a part.

    Raises
    ------
    ValueError
        When the columns of the part differ in length.
    """
    count = len(part.states)
    if (
        len(part.keys) != len(part.fingerprints)
        or len(part.keys) != count * DIGEST_WIDTH
    ):
        raise ValueError("the columns of a part differ in length")
    attempts = iter(part.attempts)
    for position, state in enumerate(part.states):
        span = slice(position * DIGEST_WIDTH, (position + 1) * DIGEST_WIDTH)
        attempt_id = next(attempts) if state == KeyState.GRANTED.value else ""
        yield Row(part.keys[span], part.fingerprints[span], state, attempt_id)


def add_part(incoming, part):
    """Add a part to its table; return False when an earlier part is missing."""
    if part.number != incoming.parts:
        return part.number < incoming.parts
    for row in to_rows(part):
        key_tables.add_row(incoming.table, row)
    incoming.table.cancelled_attempts.update(part.cancelled)
    incoming.answers.extend(part.answers)
    incoming.parts += 1
    update_digest(incoming.digest, part)
    return True


def split_answers(answer_rows):
    """Yield batches of answers of bounded size."""
    batch, batch_bytes = [], 0
    for row in answer_rows:
        batch.append(row)
        batch_bytes += answers.size(row.answer)
        if batch_bytes >= PART_ANSWER_BYTES:
            yield tuple(batch)
            batch, batch_bytes = [], 0
    if batch:
        yield tuple(batch)


def split_table(issuer, table, saved):
    """Yield the ``TablePart`` messages of one table.

    Parameters
    ----------
    issuer : str
    table : KeyTable
    saved : iterable of AnswerRow
    """
    number = 0
    table_rows = key_tables.rows(table)
    while batch := tuple(itertools.islice(table_rows, PART_ROWS)):
        keys, fingerprints, states, attempts = zip(*batch)
        granted = tuple(attempt_id for attempt_id in attempts if attempt_id)
        columns = (b"".join(keys), b"".join(fingerprints), "".join(states))
        yield TablePart(issuer, number, *columns, granted, (), ())
        number += 1
    cancelled = iter(table.cancelled_attempts)
    while batch := tuple(itertools.islice(cancelled, PART_ROWS)):
        yield TablePart(issuer, number, b"", b"", "", (), batch, ())
        number += 1
    for batch in split_answers(saved):
        yield TablePart(issuer, number, b"", b"", "", (), (), batch)
        number += 1


def create(kernel, bounds, timeout_seconds):
    """Create the service ``table_transfers``.

    Parameters
    ----------
    kernel : Kernel
    bounds : IssuerBounds
    timeout_seconds : float
        Timeout in seconds of the transfer of all tables.

    Returns
    -------
    TableTransfers
    """
    peers = kernel.find("peers")
    emit = kernel.find("events").emit
    now = kernel.clock.now
    issuer_state = kernel.find("issuers").state
    own = kernel.find("memberships").own().incarnation
    state = TransferState()

    def handle_part(sender, part):
        if part.issuer in issuer_state.ever_held_issuers:
            return TableReply(True)
        if not issuer_state.is_deciding:
            return TableReply(False, refused=True)
        source = (sender, part.issuer)
        incoming = state.incoming_by_source.setdefault(source, IncomingTable())
        while len(state.incoming_by_source) > MAX_INCOMING_TABLES:
            del state.incoming_by_source[next(iter(state.incoming_by_source))]
        return TableReply(add_part(incoming, part))

    def handle_end(sender, end):
        if end.issuer in issuer_state.ever_held_issuers:
            return TableReply(True)
        if not issuer_state.is_deciding:
            return TableReply(False, refused=True)
        incoming = state.incoming_by_source.pop((sender, end.issuer), IncomingTable())
        is_complete = incoming.parts == end.parts
        if not is_complete or incoming.digest.digest() != end.digest:
            return TableReply(False)
        adopt_table(end.issuer, incoming)
        return TableReply(True)

    def adopt_table(issuer, incoming):
        issuer_state.ever_held_issuers.add(issuer)
        issuer_state.table_by_issuer[issuer] = incoming.table
        saved, adopted_at = issuer_state.saved, now()
        for row in incoming.answers:
            saved_at = adopted_at - row.age
            answers.save(
                saved, issuer, row.key, row.answer, saved_at, adopted_at, bounds.answers
            )
        keys = key_tables.count_rows(incoming.table)
        emit(events.TABLE_ADOPTED, issuer=issuer, keys=keys)
        drop_oldest()

    def drop_oldest():
        adopted = {
            issuer: key_tables.count_rows(table)
            for issuer, table in issuer_state.table_by_issuer.items()
            if issuer != own
        }
        total = sum(adopted.values())
        for issuer, count in adopted.items():
            if total <= bounds.max_adopted_keys:
                return
            total -= count
            del issuer_state.table_by_issuer[issuer]
            emit(events.TABLE_DROPPED, issuer=issuer, keys=count)

    def send(successor, method, message, give_up_at):
        while True:
            result = peers.call(
                successor.peer_address, method, message, CALL_TIMEOUT_SECONDS
            )
            reply = result.value_or(None)
            if reply is not None:
                if reply.refused:
                    state.offered_to_by_issuer.pop(message.issuer, None)
                return reply.taken
            if now() + RETRY_INTERVAL_SECONDS >= give_up_at:
                return False
            kernel.clock.sleep(RETRY_INTERVAL_SECONDS)

    def send_table(successor, issuer, table, give_up_at):
        saved = [
            AnswerRow(key, answer, now() - saved_at)
            for (answer_issuer, key), (
                answer,
                saved_at,
            ) in issuer_state.saved.entry_by_key.items()
            if answer_issuer == issuer
        ]
        count, digest = 0, hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in split_table(issuer, table, saved):
            if not send(successor, PART, part, give_up_at):
                return False
            count += 1
            update_digest(digest, part)
        offered_to = state.offered_to_by_issuer.setdefault(
            issuer, successor.incarnation
        )
        if offered_to != successor.incarnation:
            return False
        end = TableEnd(issuer, count, digest.digest())
        return send(successor, END, end, give_up_at)

    def hand_over(successor):
        issuer_state.is_deciding = False
        if successor is None:
            return not any(
                table.fingerprint_by_key
                for table in issuer_state.table_by_issuer.values()
            )
        issuer_state.successor = successor.incarnation
        give_up_at = now() + timeout_seconds
        is_complete = True
        for issuer, table in issuer_state.table_by_issuer.items():
            arrived = send_table(successor, issuer, table, give_up_at)
            is_complete = is_complete and arrived
            emit(
                events.TABLE_HANDED_OVER,
                issuer=issuer,
                successor=successor.incarnation,
                keys=len(table.fingerprint_by_key),
                arrived=arrived,
            )
        return is_complete

    peers.serve(PART, handle_part)
    peers.serve(END, handle_end)
    service = TableTransfers(hand_over)
    kernel.register("table_transfers", service)
    return service
