"""The configuration in force: a join of change tickets.

For each object the state in the highest-numbered ticket that touches it counts, so
tickets may come in any order and more than once and nothing ever reverts. An object
that was removed keeps the number of the ticket that removed it.
"""

from collections import deque
from types import MappingProxyType
from typing import Any, NamedTuple

from trefoilpin import events
from trefoilpin.records import KINDS, ObjectChange
from trefoilpin.services import Configurations

__all__ = ["ConfigurationState", "ObjectVersion", "create"]

KEPT_TICKETS = 256


class ObjectVersion(NamedTuple):
    """An object as a ticket left it; ``state`` is None for a removed one."""

    kind: str
    id: str
    number: int
    state: Any


class ConfigurationState:
    """Objects in force and the numbers of the tickets that brought them."""

    def __init__(self):
        self.record_by_id_by_kind: dict[str, dict] = {kind: {} for kind in KINDS}
        self.number_by_id_by_kind: dict[str, dict] = {kind: {} for kind in KINDS}
        self.head = 0
        self.numbers_after_head: set[int] = set()
        self.recent: deque = deque(maxlen=KEPT_TICKETS)
        self.subscribers: list = []


def advance_head(state):
    """Move the head over consecutive numbers."""
    for number in list(state.numbers_after_head):
        if number <= state.head:
            state.numbers_after_head.discard(number)
    while state.head + 1 in state.numbers_after_head:
        state.head += 1
        state.numbers_after_head.discard(state.head)


def join_version(state, kind, identifier, number, record):
    """Put one object's state in force; return False when a later one already is."""
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

    def tell(effective):
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
            if join_version(state, kind, identifier, ticket.number, change.state):
                effective.append(change)
        state.numbers_after_head.add(ticket.number)
        state.recent.append(ticket)
        advance_head(state)
        emit(events.TICKET_IN_FORCE, ticket=ticket.number, changes=len(effective))
        tell(effective)
        return True

    def restore(versions, head):
        effective = []
        for version in versions:
            if join_version(state, *version):
                change = ObjectChange(version.kind, version.id, version.state)
                effective.append(change)
        state.head = max(state.head, head)
        advance_head(state)
        emit(events.CONFIGURATION_RESTORED, ticket=head, changes=len(effective))
        tell(effective)

    def versions():
        for kind, number_by_id in state.number_by_id_by_kind.items():
            record_by_id = state.record_by_id_by_kind[kind]
            for identifier, number in list(number_by_id.items()):
                record = record_by_id.get(identifier)
                yield ObjectVersion(kind, identifier, number, record)

    def recent(after):
        ticket_by_number = {
            ticket.number: ticket for ticket in state.recent if ticket.number > after
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
