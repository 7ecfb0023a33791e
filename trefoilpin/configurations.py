"""The configuration in force: a join of change tickets.

For each object the state in the highest-numbered ticket that touches it counts, so
tickets may come in any order and more than once and nothing ever reverts.
"""

from types import MappingProxyType

from trefoilpin import events
from trefoilpin.records import KINDS
from trefoilpin.services import Configurations

__all__ = ["ConfigurationState", "create"]


class ConfigurationState:
    """Objects in force and the numbers of the tickets that brought them."""

    def __init__(self):
        self.record_by_id_by_kind: dict[str, dict] = {kind: {} for kind in KINDS}
        self.number_by_object: dict[tuple[str, str], int] = {}
        self.head = 0
        self.numbers_after_head: set[int] = set()
        self.subscribers: list = []


def advance_head(state, number):
    """Count a ticket as in force and move the head over consecutive numbers."""
    state.numbers_after_head.add(number)
    while state.head + 1 in state.numbers_after_head:
        state.head += 1
        state.numbers_after_head.discard(state.head)


def join_change(state, number, change):
    """Put one change in force; return False when a later one already is."""
    name = (change.kind, change.id)
    if state.number_by_object.get(name, 0) >= number:
        return False
    state.number_by_object[name] = number
    record_by_id = state.record_by_id_by_kind[change.kind]
    if change.state is None:
        record_by_id.pop(change.id, None)
    else:
        record_by_id[change.id] = change.state
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

    def apply(ticket):
        if ticket.number <= state.head or ticket.number in state.numbers_after_head:
            return False
        effective = []
        for change in ticket.changes:
            if join_change(state, ticket.number, change):
                effective.append(change)
        advance_head(state, ticket.number)
        emit(events.TICKET_IN_FORCE, ticket=ticket.number, changes=len(effective))
        if effective:
            for function in state.subscribers:
                function(tuple(effective))
        return True

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
        touched=lambda kind, identifier: state.number_by_object.get(
            (kind, identifier), 0
        ),
        subscribe=state.subscribers.append,
    )
    kernel.register("configurations", service)
    return service
