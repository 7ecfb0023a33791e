"""Hand-over of a stopping host's tables to its successor, in bounded parts.

The stopping host decides nothing from the first part on, and the successor nothing
before every part is there. Nobody decides when the transfer does not complete.
"""

import itertools

from trefoilpin import answers, events, key_tables
from trefoilpin.key_tables import Row
from trefoilpin.operation_messages import (
    AnswerRow,
    TableEnd,
    TablePart,
    TableReply,
)
from trefoilpin.services import TableTransfers

__all__ = ["END", "PART", "create"]

PART = "operations.table_part"
END = "operations.table_end"
PART_ROWS = 2000
PART_ANSWER_BYTES = 262_144
MAX_INCOMING_TABLES = 16
CALL_SECONDS = 1.0
RETRY_SECONDS = 0.1


class TransferState:
    """Parts that arrived, by number by issuer, and hosts that may hold own tables."""

    def __init__(self):
        self.part_by_number_by_issuer: dict[str, dict[int, TablePart]] = {}
        self.offered_to_by_issuer: dict[str, str] = {}


def to_rows(parts):
    """Yield the rows of parts in their order."""
    for part in parts:
        columns = (part.keys, part.fingerprints, part.states, part.attempts)
        for columns_row in zip(*columns, strict=True):
            yield Row(*columns_row)


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
    found = key_tables.rows(table)
    number = 0
    while batch := tuple(itertools.islice(found, PART_ROWS)):
        keys, fingerprints, states, attempts = zip(*batch)
        yield TablePart(
            issuer, number, keys, fingerprints, "".join(states), attempts, ()
        )
        number += 1
    for rows in split_answers(saved):
        yield TablePart(issuer, number, (), (), "", (), rows)
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
        parts = state.part_by_number_by_issuer.setdefault(part.issuer, {})
        parts[part.number] = part
        drop_oldest_incoming()
        return TableReply(True)

    def drop_oldest_incoming():
        while len(state.part_by_number_by_issuer) > MAX_INCOMING_TABLES:
            del state.part_by_number_by_issuer[
                next(iter(state.part_by_number_by_issuer))
            ]

    def take_end(sender, end):
        if end.issuer in issuer_state.ever_held:
            return TableReply(True)
        if not issuer_state.deciding:
            return TableReply(False, refused=True)
        part_by_number = state.part_by_number_by_issuer.get(end.issuer, {})
        if sorted(part_by_number) != list(range(end.parts)):
            return TableReply(False)
        parts = [part_by_number[number] for number in range(end.parts)]
        if key_tables.digest_rows(to_rows(parts)) != end.digest:
            return TableReply(False)
        state.part_by_number_by_issuer.pop(end.issuer, None)
        adopt(end.issuer, parts)
        return TableReply(True)

    def adopt(issuer, parts):
        table = key_tables.from_rows(to_rows(parts))
        issuer_state.ever_held.add(issuer)
        issuer_state.table_by_issuer[issuer] = table
        for part in parts:
            for row in part.answers:
                saved_at = now() - row.age
                answers.save(
                    issuer_state.saved,
                    issuer,
                    row.key,
                    row.answer,
                    saved_at,
                    now(),
                    bounds.answers,
                )
        emit(events.TABLE_ADOPTED, issuer=issuer, keys=len(table.fingerprint_by_key))
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
        count = 0
        for part in split_table(issuer, table, saved):
            if not send(successor, PART, part, give_up_at):
                return False
            count += 1
        offered_to = state.offered_to_by_issuer.setdefault(
            issuer, successor.incarnation
        )
        if offered_to != successor.incarnation:
            return False
        digest = key_tables.digest_rows(key_tables.rows(table))
        return send(successor, END, TableEnd(issuer, count, digest), give_up_at)

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
