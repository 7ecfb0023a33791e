"""Submission of numbered change tickets, and the task that follows them.

Ticket ``n`` is accepted by the conditional creation of ``tickets/n`` in the store,
so of racing operators one wins. After a lost answer the object is read back and its
digest compared; what can't be told is reported as unknown.
"""

from enum import Enum
from typing import NamedTuple

from returns.result import Failure, Success

from trefoilpin import codecs, events
from trefoilpin.services import StoreOutcome, Tickets

__all__ = ["TicketFailure", "TicketOutcome", "create"]

TICKET_PREFIX = "tickets/"
NUMBER_DIGITS = 12
WATCH_SECONDS = 10.0
RETRY_SECONDS = 0.5


class TicketOutcome(Enum):
    """What became of a ticket that was not accepted for certain."""

    REFUSED = "refused"
    UNKNOWN = "unknown"


class TicketFailure(NamedTuple):
    """Why a ticket was not accepted.

    Attributes
    ----------
    outcome : TicketOutcome
    detail : str
    next_number : int or None
        The number to use, when the one given is taken.
    """

    outcome: TicketOutcome
    detail: str
    next_number: int | None = None


def ticket_path(number):
    """Return the path of a ticket in the store; paths sort like numbers."""
    return f"{TICKET_PREFIX}{number:0{NUMBER_DIGITS}d}"


def refused(detail, next_number=None):
    """Return the failure of a ticket that had no effect."""
    return Failure(TicketFailure(TicketOutcome.REFUSED, detail, next_number))


def unknown(detail):
    """Return the failure of a ticket that may have been accepted."""
    return Failure(TicketFailure(TicketOutcome.UNKNOWN, detail))


def create(kernel, check):
    """Create the service ``tickets``.

    Parameters
    ----------
    kernel : Kernel
    check : callable
        ``check(configurations, ticket)`` gives None or a sentence that names what is
        wrong with the configuration after the ticket.

    Returns
    -------
    Tickets
    """
    store = kernel.find("store")
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    emit = kernel.find("events").emit

    def catch_up():
        """Join every ticket after the head; return a store result."""
        while True:
            after = ticket_path(configurations.head())
            began_at = kernel.clock.now()
            listed = store.list(TICKET_PREFIX, after)
            if isinstance(listed, Failure):
                return listed
            rows = listed.unwrap()
            if not rows:
                memberships.report_head(configurations.head(), began_at)
                return Success(configurations.head())
            before = configurations.head()
            for stored in rows:
                configurations.apply(codecs.decode_ticket(stored.value).unwrap())
            if configurations.head() == before:
                return Success(before)

    def submit(ticket):
        failure = find_fault(ticket)
        if failure is not None:
            emit_refusal(ticket, failure.failure())
            return failure
        result = write(ticket)
        if isinstance(result, Success):
            configurations.apply(ticket)
            count = len(ticket.changes)
            emit(events.TICKET_ACCEPTED, ticket=ticket.number, changes=count)
        else:
            emit_refusal(ticket, result.failure())
        return result

    def emit_refusal(ticket, failure):
        emit(
            events.TICKET_REFUSED,
            ticket=ticket.number,
            outcome=failure.outcome.value,
            detail=failure.detail,
        )

    def find_fault(ticket):
        caught_up = catch_up()
        if isinstance(caught_up, Failure):
            return refused("the store can't be read; nothing was sent")
        expected = configurations.head() + 1
        if ticket.number < expected:
            return compare(ticket, expected)
        if ticket.number > expected:
            return refused(f"the next number is {expected}", expected)
        for change in ticket.changes:
            touched = configurations.touched(change.kind, change.id)
            if change.base is not None and change.base != touched:
                name = f"{change.kind} {change.id!r}"
                return refused(f"{name} was changed by ticket {touched}", expected)
        fault = check(configurations, ticket)
        return None if fault is None else refused(fault, expected)

    def compare(ticket, expected):
        shown = show(ticket.number)
        if isinstance(shown, Failure):
            return unknown("the store can't be read; send the same ticket again")
        if shown.unwrap().digest == ticket.digest:
            return Success(ticket)
        return refused(f"number {ticket.number} is taken", expected)

    def write(ticket):
        path = ticket_path(ticket.number)
        created = store.create(path, codecs.encode_ticket(ticket))
        if isinstance(created, Success):
            return Success(ticket)
        failure = created.failure()
        if failure.outcome is StoreOutcome.REFUSED and not failure.conflict:
            return refused(failure.detail)
        return compare(ticket, ticket.number + 1)

    def show(number):
        found = store.get(ticket_path(number))
        return found.map(lambda stored: codecs.decode_ticket(stored.value).unwrap())

    def next_number():
        return catch_up().map(lambda head: head + 1)

    def follow_forever():
        version = 0
        while True:
            caught_up = catch_up()
            if isinstance(caught_up, Failure):
                kernel.clock.sleep(RETRY_SECONDS * (1 + kernel.rng.random()))
                continue
            watched = store.watch(TICKET_PREFIX, version, WATCH_SECONDS)
            for change in watched.value_or(()):
                version = max(version, change.version)

    service = Tickets(submit, show, next_number)
    kernel.register("tickets", service, lambda: kernel.spawn(follow_forever))
    return service
