"""Hand-over of a stopping host's tables to its successor, in bounded parts.

The stopping host decides nothing from the first part on, and the successor nothing
before every part is there. Nobody decides when the transfer does not complete.
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

__all__ = ["END", "PART", "Incoming", "create", "split_table", "take", "update_digest"]

PART = "operations.table_part"
END = "operations.table_end"
PART_ROWS = 200
PART_ANSWER_BYTES = 65_536
WIDTH = DIGEST_BYTES
MAX_INCOMING_TABLES = 16
CALL_SECONDS = 1.0
RETRY_SECONDS = 0.1


class Incoming:
    """A table of which some parts arrived, in their order."""

    def __init__(self):
        self.table = key_tables.KeyTable()
        self.answers: list[AnswerRow] = []
        self.parts = 0
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)


class TransferState:
    """Tables that arrive, by sender and issuer, and hosts that may hold own ones."""

    def __init__(self):
        self.incoming_by_source: dict[tuple[str, str], Incoming] = {}
        self.offered_to_by_issuer: dict[str, str] = {}


def update_digest(digest, part):
    """Add a part's rows to the digest of its table."""
    attempts = " ".join(part.attempts + part.cancelled)
    digest.update(f"{part.number} {part.states} {attempts} ".encode())
    digest.update(part.keys + part.fingerprints)


def to_rows(part):
    """Yield the rows of a part; ``ValueError`` when its columns do not fit."""
    count = len(part.states)
    if len(part.keys) != len(part.fingerprints) or len(part.keys) != count * WIDTH:
        raise ValueError("the columns of a part differ in length")
    attempts = iter(part.attempts)
    for position, state in enumerate(part.states):
        place = slice(position * WIDTH, (position + 1) * WIDTH)
        attempt_id = next(attempts) if state == KeyState.GRANTED.value else ""
        yield Row(part.keys[place], part.fingerprints[place], state, attempt_id)


def take(incoming, part):
    """Add a part to its table; False when an earlier one is missing."""
    if part.number != incoming.parts:
        return part.number < incoming.parts
    for row in to_rows(part):
        key_tables.add_row(incoming.table, row)
    incoming.table.cancelled_attempts.update(part.cancelled)
    incoming.answers.extend(part.answers)
    incoming.parts += 1
    update_digest(incoming.digest, part)
    return True


def split_answers(found):
    """Yield tuples of answers of bounded size."""
    batch, batch_bytes = [], 0
    for row in found:
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
    found = key_tables.rows(table)
    while batch := tuple(itertools.islice(found, PART_ROWS)):
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


def create(kernel, bounds, patience):
    """Create the service ``table_transfers``.

    Parameters
    ----------
    kernel : Kernel
    bounds : IssuerBounds
    patience : float
        Seconds after which a hand-over is given up.

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

    def take_part(sender, part):
        if part.issuer in issuer_state.ever_held:
            return TableReply(True)
        if not issuer_state.deciding:
            return TableReply(False, refused=True)
        source = (sender, part.issuer)
        incoming = state.incoming_by_source.setdefault(source, Incoming())
        while len(state.incoming_by_source) > MAX_INCOMING_TABLES:
            del state.incoming_by_source[next(iter(state.incoming_by_source))]
        return TableReply(take(incoming, part))

    def take_end(sender, end):
        if end.issuer in issuer_state.ever_held:
            return TableReply(True)
        if not issuer_state.deciding:
            return TableReply(False, refused=True)
        incoming = state.incoming_by_source.pop((sender, end.issuer), Incoming())
        whole = incoming.parts == end.parts
        if not whole or incoming.digest.digest() != end.digest:
            return TableReply(False)
        adopt(end.issuer, incoming)
        return TableReply(True)

    def adopt(issuer, incoming):
        issuer_state.ever_held.add(issuer)
        issuer_state.table_by_issuer[issuer] = incoming.table
        saved, instant = issuer_state.saved, now()
        for row in incoming.answers:
            saved_at = instant - row.age
            answers.save(
                saved, issuer, row.key, row.answer, saved_at, instant, bounds.answers
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
            result = peers.call(successor.peer_address, method, message, CALL_SECONDS)
            reply = result.value_or(None)
            if reply is not None:
                if reply.refused:
                    state.offered_to_by_issuer.pop(message.issuer, None)
                return reply.taken
            if now() + RETRY_SECONDS >= give_up_at:
                return False
            kernel.clock.sleep(RETRY_SECONDS)

    def send_table(successor, issuer, table, give_up_at):
        saved = [
            AnswerRow(key, answer, now() - saved_at)
            for (named, key), (
                answer,
                saved_at,
            ) in issuer_state.saved.entry_by_key.items()
            if named == issuer
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
        issuer_state.deciding = False
        if successor is None:
            return not any(
                table.fingerprint_by_key
                for table in issuer_state.table_by_issuer.values()
            )
        issuer_state.successor = successor.incarnation
        give_up_at = now() + patience
        whole = True
        for issuer, table in issuer_state.table_by_issuer.items():
            arrived = send_table(successor, issuer, table, give_up_at)
            whole = whole and arrived
            emit(
                events.TABLE_HANDED_OVER,
                issuer=issuer,
                successor=successor.incarnation,
                keys=len(table.fingerprint_by_key),
                arrived=arrived,
            )
        return whole

    peers.serve(PART, take_part)
    peers.serve(END, take_end)
    service = TableTransfers(hand_over)
    kernel.register("table_transfers", service)
    return service
