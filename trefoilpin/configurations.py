"""The configuration in force: the merge of all change tickets.

Each object has the state of the highest-numbered ticket that changes it. The merge is
commutative and idempotent, so tickets may arrive in any order and more than once, and
no object ever reverts. A removed object keeps the number of the ticket that removed
it.
"""

from collections import deque
from types import MappingProxyType
from typing import Any, NamedTuple

from trefoilpin import events
from trefoilpin.records import KINDS, ObjectChange
from trefoilpin.services import Configurations

__all__ = ["ConfigurationState", "ObjectVersion", "create"]

MAX_RECENT_TICKETS = 256


class ObjectVersion(NamedTuple):
    """An object and the number of its last ticket; ``state`` is None if removed."""

    kind: str
    id: str
    number: int
    state: Any


class ConfigurationState:
    """Objects in force with the numbers of the last tickets that changed them."""

    def __init__(self):
        self.record_by_id_by_kind: dict[str, dict] = {kind: {} for kind in KINDS}
        self.number_by_id_by_kind: dict[str, dict] = {kind: {} for kind in KINDS}
        self.head = 0
        self.numbers_after_head: set[int] = set()
        self.recent_tickets: deque = deque(maxlen=MAX_RECENT_TICKETS)
        self.subscribers: list = []


def advance_head(state):
    """Advance the head over consecutive ticket numbers."""
    for number in list(state.numbers_after_head):
        if number <= state.head:
            state.numbers_after_head.discard(number)
    while state.head + 1 in state.numbers_after_head:
        state.head += 1
        state.numbers_after_head.discard(state.head)


def merge_version(state, kind, identifier, number, record):
    """Merge one object's state; return False when a later or equal one is in force."""
    number_by_id = state.number_by_id_by_kind[kind]
    if number_by_id.get(identifier, 0) >= number:
        return False
    record_by_id = state.record_by_id_by_kind[kind]
    if record is None:
        record_by_id.pop(identifier, None)
        number_by_id[identifier] = number
    else:
        record_by_id[record.id] = record
        number_by_id[record.id] = number
    return True


def create(kernel):
    """Create the service ``configurations``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Configurations
    """
    state = ConfigurationState()
    emit = kernel.find("events").emit

    def notify(effective):
        if not effective:
            return
        for function in state.subscribers:
            function(tuple(effective))

    def apply(ticket):
        if ticket.number <= state.head or ticket.number in state.numbers_after_head:
            return False
        effective = []
        for change in ticket.changes:
            kind, identifier = change.kind, change.id
            if merge_version(state, kind, identifier, ticket.number, change.state):
                effective.append(change)
        state.numbers_after_head.add(ticket.number)
        state.recent_tickets.append(ticket)
        advance_head(state)
        emit(events.TICKET_IN_FORCE, ticket=ticket.number, changes=len(effective))
        notify(effective)
        return True

    def restore(versions, head):
        effective = []
        for version in versions:
            if merge_version(state, *version):
                change = ObjectChange(version.kind, version.id, version.state)
                effective.append(change)
        state.head = max(state.head, head)
        advance_head(state)
        emit(events.CONFIGURATION_RESTORED, ticket=head, changes=len(effective))
        notify(effective)

    def versions():
        for kind, number_by_id in state.number_by_id_by_kind.items():
            record_by_id = state.record_by_id_by_kind[kind]
            for identifier, number in list(number_by_id.items()):
                record = record_by_id.get(identifier)
                yield ObjectVersion(kind, identifier, number, record)

    def recent(after):
        ticket_by_number = {
            ticket.number: ticket
            for ticket in state.recent_tickets
            if ticket.number > after
        }
        if not ticket_by_number.keys() >= set(range(after + 1, state.head + 1)):
            return None
        return tuple(ticket_by_number[number] for number in sorted(ticket_by_number))

    def view(kind):
        return MappingProxyType(state.record_by_id_by_kind[kind])

    service = Configurations(
        accounts_by_id=view("account"),
        keys_by_id=view("key"),
        pools_by_id=view("pool"),
        routes_by_id=view("route"),
        zones_by_id=view("zone"),
        apply=apply,
        head=lambda: state.head,
        last_ticket_number=lambda kind, identifier: state.number_by_id_by_kind[
            kind
        ].get(identifier, 0),
        subscribe=state.subscribers.append,
        restore=restore,
        versions=versions,
        recent=recent,
    )
    kernel.register("configurations", service)
    return service
