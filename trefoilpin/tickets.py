"""Submission of numbered change tickets, and the task that follows the store.

Ticket ``n`` is accepted by the conditional creation of ``tickets/n`` in the store,
so of racing operators one wins. After a lost answer the object is read back and its
digest compared; what can't be told is reported as unknown. Accepted is answered only
once a majority of the hosts has heard of the number: a host with fresh evidence of a
majority then knows that it lacks a ticket.
"""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from returns.result import Failure, Success

from trefoilpin import codecs, events
from trefoilpin.memberships import FRESH_SECONDS
from trefoilpin.records import ChangeTicket
from trefoilpin.services import StoreFailure, StoreOutcome, Tickets

__all__ = [
    "AnnounceReply",
    "AnnounceRequest",
    "TicketFailure",
    "TicketOutcome",
    "create",
]

TICKET_PREFIX = "tickets/"
NUMBER_DIGITS = 12
WATCH_SECONDS = 0.75
ASK_SHARE = 0.6
BEHIND_SECONDS = 1.0
ASK_JITTER_SHARE = 0.25
ANNOUNCE_TIMEOUT_SECONDS = 1.0
ANNOUNCE_ROUNDS = 3
MAX_UNCERTAIN = 1000
MAX_TICKET_BYTES = 900_000


class TicketOutcome(Enum):
    """What became of a ticket that was not accepted for certain."""

    REFUSED = "refused"
    UNKNOWN = "unknown"


class TicketFailure(NamedTuple):
    """Why a ticket was not accepted.

    Attributes
    ----------
    outcome : TicketOutcome
        ``REFUSED`` when this submission had no effect and will have none.
    detail : str
    next_number : int or None
        The number to use, when the one given is taken.
    """

    outcome: TicketOutcome
    detail: str
    next_number: int | None = None


class AnnounceRequest(NamedTuple):
    """Tells that a ticket of this number exists."""

    number: int


class AnnounceReply(NamedTuple):
    """Tells that the number is remembered, and the ticket up to which all are in
    force there."""

    head: int


def ticket_path(number):
    """Return the path of a ticket in the store; paths sort like numbers."""
    return f"{TICKET_PREFIX}{number:0{NUMBER_DIGITS}d}"


def parse_number(path):
    """Return the number of a ticket's path, or None."""
    digits = path.removeprefix(TICKET_PREFIX)
    is_number = digits.isascii() and digits.isdigit()
    return int(digits) if is_number and ticket_path(int(digits)) == path else None


def refused(detail, next_number=None):
    """Return the failure of a ticket that had no effect."""
    return Failure(TicketFailure(TicketOutcome.REFUSED, detail, next_number))


def is_taken(ticket, failure):
    """Tell whether another ticket has this one's number."""
    return failure.next_number is not None and failure.next_number > ticket.number


def unknown(detail):
    """Return the failure of a ticket that may have been accepted."""
    return Failure(TicketFailure(TicketOutcome.UNKNOWN, detail))


VOID = ChangeTicket(0, codecs.digest_changes(()), ())


class FollowState:
    """When this host asks the store next, and what it reported already."""

    def __init__(self):
        self.reported_paths: set[str] = set()
        self.ask_share = ASK_SHARE
        self.behind_since: float | None = None
        self.uncertain_digests: OrderedDict[str, None] = OrderedDict()


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
    state = FollowState()
    store = kernel.find("store")
    peers = kernel.find("peers")
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    emit = kernel.find("events").emit

    def catch_up():
        """Join every ticket after the head; return the store's head."""
        last = configurations.head()
        while True:
            after = ticket_path(max(last, configurations.head()))
            began_at = kernel.clock.now()
            listed = store.list(TICKET_PREFIX, after)
            if isinstance(listed, Failure):
                return listed
            numbers = [join(stored) for stored in listed.unwrap()]
            last = max([last, *filter(None, numbers)])
            if not any(numbers):
                break
        last = max(last, configurations.head())
        memberships.report_head(last, began_at)
        return Success(last)

    def join(stored):
        """Put a stored ticket in force if it can be read; return its number."""
        number = parse_number(stored.path)
        if number is None:
            report_malformed(stored.path, "void", "not the path of a ticket")
            return None
        decoded = codecs.decode_ticket(stored.value)
        fits = isinstance(decoded, Success) and decoded.unwrap().number == number
        if fits:
            configurations.apply(decoded.unwrap())
        elif isinstance(decoded, Failure) and codecs.is_sealed(stored.value):
            report_malformed(stored.path, "unread", str(decoded.failure()))
        else:
            report_malformed(stored.path, "void", "no host wrote it")
            configurations.apply(VOID._replace(number=number))
        return number

    def report_malformed(path, counts, detail):
        if path not in state.reported_paths:
            state.reported_paths.add(path)
            emit(events.TICKET_MALFORMED, path=path, counts=counts, detail=detail)

    def submit(ticket):
        fault = find_fault(ticket)
        result = write(ticket) if fault is None else fault
        if isinstance(result, Success):
            result = announce(ticket)
        result = result.lash(lambda failure: keep_uncertain(ticket, failure))
        if isinstance(result, Success):
            count = len(ticket.changes)
            emit(events.TICKET_ACCEPTED, ticket=ticket.number, changes=count)
            return result
        failure = result.failure()
        emit(
            events.TICKET_REFUSED,
            ticket=ticket.number,
            outcome=failure.outcome.value,
            detail=failure.detail,
        )
        return result

    def keep_uncertain(ticket, failure):
        """Never answer refused after unknown, unless the number is taken."""
        if failure.outcome is TicketOutcome.UNKNOWN:
            state.uncertain_digests[ticket.digest] = None
            if len(state.uncertain_digests) > MAX_UNCERTAIN:
                state.uncertain_digests.popitem(last=False)
        elif ticket.digest in state.uncertain_digests and not is_taken(ticket, failure):
            return unknown(f"{failure.detail}; an earlier try may have been accepted")
        return Failure(failure)

    def find_fault(ticket):
        """Return None when the ticket may be written, else the result."""
        caught_up = catch_up()
        if isinstance(caught_up, Failure):
            return refused("the store can't be read; nothing was sent")
        last = caught_up.unwrap()
        if last > configurations.head():
            return refused("this host can't read the latest ticket; nothing was sent")
        if not memberships.has_majority():
            return refused("too few hosts are in reach; nothing was sent")
        if ticket.number <= last:
            return compare(ticket, last + 1)
        if ticket.number > last + 1:
            return refused(f"the next number is {last + 1}", last + 1)
        return check_ticket(ticket)

    def check_ticket(ticket):
        for change in ticket.changes:
            touched_by = configurations.last_ticket_number(change.kind, change.id)
            if change.base is not None and change.base != touched_by:
                name = f"{change.kind} {change.id!r}"
                return refused(
                    f"{name} was changed by ticket {touched_by}", ticket.number
                )
        if len(codecs.encode_ticket_text(ticket).encode()) > MAX_TICKET_BYTES:
            return refused(f"changes: must fit in {MAX_TICKET_BYTES} bytes")
        fault = check(configurations, ticket)
        return None if fault is None else refused(fault, ticket.number)

    def compare(ticket, expected):
        """Tell by the stored ticket of that number what became of this one."""
        found = store.get(ticket_path(ticket.number))
        if isinstance(found, Failure):
            return unknown("the store can't be read; send the same ticket again")
        decoded = codecs.decode_ticket(found.unwrap().value)
        if decoded.map(lambda stored: stored.digest).value_or("") == ticket.digest:
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

    def announce(ticket):
        configurations.apply(ticket)
        memberships.report_number(ticket.number)
        own, roster = memberships.own(), memberships.roster()
        addresses = {host.peer_address for host in roster if host != own}
        missing = len(roster) // 2
        for _ in range(ANNOUNCE_ROUNDS):
            if missing <= 0:
                return Success(ticket)
            heard = peers.call_all(
                sorted(addresses),
                "tickets.announce",
                AnnounceRequest(ticket.number),
                ANNOUNCE_TIMEOUT_SECONDS,
                missing,
            )
            missing -= len(heard)
            addresses -= set(heard)
        if missing <= 0:
            return Success(ticket)
        return unknown("too few hosts have heard of it; send it again")

    def hear(sender, request):
        memberships.report_number(request.number)
        return AnnounceReply(configurations.head())

    def show(number):
        found = store.get(ticket_path(number))
        return found.bind(decode_stored)

    def decode_stored(stored):
        decoded = codecs.decode_ticket(stored.value)
        if isinstance(decoded, Success):
            return decoded
        detail = f"the stored ticket is malformed: {decoded.failure()}"
        return Failure(StoreFailure(StoreOutcome.REFUSED, detail))

    def next_number():
        return catch_up().map(lambda head: head + 1)

    def watch_once():
        if not (memberships.is_store_watcher() or is_behind() or is_stale()):
            return False
        state.ask_share = ASK_SHARE + ASK_JITTER_SHARE * kernel.rng.random()
        return isinstance(catch_up(), Success)

    def is_stale():
        return memberships.store_age() > state.ask_share * FRESH_SECONDS

    def is_behind():
        """Tell whether gossip has not brought a known ticket for a while."""
        if memberships.known_number() <= configurations.head():
            state.behind_since = None
            return False
        if state.behind_since is None:
            state.behind_since = kernel.clock.now()
        return kernel.clock.now() - state.behind_since > BEHIND_SECONDS

    def follow_forever():
        kernel.find("snapshots").load_once()
        while True:
            watch_once()
            kernel.clock.sleep(WATCH_SECONDS * (0.5 + kernel.rng.random()))

    peers.serve("tickets.announce", hear)
    service = Tickets(submit, show, next_number, watch_once)
    kernel.register("tickets", service, lambda: kernel.spawn(follow_forever))
    return service
