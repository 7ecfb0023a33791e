"""Submission of numbered change tickets, and the task that reads new ones.

Ticket ``n`` is accepted by the conditional creation of ``tickets/n`` in the store, so
only one of several concurrent submissions succeeds. After a lost response the object
is read back and its digest compared; if that fails, the outcome is reported as
unknown. A submission succeeds only once a majority of the hosts knows the number, so
that any host in contact with a majority can tell that it lacks a ticket.
"""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from returns.result import Failure, Success

from trefoilpin import codecs, events
from trefoilpin.memberships import MAX_FRESH_AGE_SECONDS
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
WATCH_INTERVAL_SECONDS = 0.75
STALE_READ_SHARE = 0.6
MAX_GOSSIP_DELAY_SECONDS = 1.0
STALE_READ_JITTER_SHARE = 0.25
ANNOUNCE_TIMEOUT_SECONDS = 1.0
MAX_ANNOUNCE_ATTEMPTS = 3
MAX_UNKNOWN_DIGESTS = 1000
MAX_TICKET_BYTES = 900_000


class TicketOutcome(Enum):
    """Outcome of a submission that did not certainly succeed."""

    REFUSED = "refused"
    UNKNOWN = "unknown"


class TicketFailure(NamedTuple):
    """Failure of a submission.

    Attributes
    ----------
    outcome : TicketOutcome
        ``REFUSED`` when this submission had no effect and will have none.
    detail : str
    next_number : int or None
        The number to use when the given one can't be used.
    """

    outcome: TicketOutcome
    detail: str
    next_number: int | None = None


class AnnounceRequest(NamedTuple):
    """Announcement that a ticket of this number exists."""

    number: int


class AnnounceReply(NamedTuple):
    """Acknowledgement of the number, with the host's own head."""

    head: int


def ticket_path(number):
    """Return the path of a ticket in the store; paths sort in order of numbers."""
    return f"{TICKET_PREFIX}{number:0{NUMBER_DIGITS}d}"


def parse_number(path):
    """Return the ticket number in a path, or None when it is not a ticket's path."""
    digits = path.removeprefix(TICKET_PREFIX)
    is_number = digits.isascii() and digits.isdigit()
    return int(digits) if is_number and ticket_path(int(digits)) == path else None


def refused(detail, next_number=None):
    """Return the failure of a submission that had no effect."""
    return Failure(TicketFailure(TicketOutcome.REFUSED, detail, next_number))


def is_number_taken(ticket, failure):
    """Tell whether the failure shows that another ticket has this one's number."""
    return failure.next_number is not None and failure.next_number > ticket.number


def unknown(detail):
    """Return the failure of a submission that may have been accepted."""
    return Failure(TicketFailure(TicketOutcome.UNKNOWN, detail))


EMPTY_TICKET = ChangeTicket(0, codecs.digest_changes(()), ())


class TicketState:
    """State of the submissions and of the reads of the store.

    Attributes
    ----------
    reported_paths : set of str
        Malformed objects that were logged.
    stale_read_share : float
        Share of ``MAX_FRESH_AGE_SECONDS`` after which this host reads the store itself,
        redrawn at random so that hosts don't read at the same time.
    behind_since : float or None
        Time since which a known ticket is missing here.
    unknown_digests : OrderedDict
        Tickets that may have been accepted.
    """

    def __init__(self):
        self.reported_paths: set[str] = set()
        self.stale_read_share = STALE_READ_SHARE
        self.behind_since: float | None = None
        self.unknown_digests: OrderedDict[str, None] = OrderedDict()


def create(kernel, check):
    """Create the service ``tickets``.

    Parameters
    ----------
    kernel : Kernel
    check : callable
        ``check(configurations, ticket)`` returns None or a description of the error
        that the configuration would have after the ticket.

    Returns
    -------
    Tickets
    """
    state = TicketState()
    store = kernel.find("store")
    peers = kernel.find("peers")
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    emit = kernel.find("events").emit

    def catch_up():
        """Apply every stored ticket after the head; return the store's head."""
        last = configurations.head()
        while True:
            after = ticket_path(max(last, configurations.head()))
            began_at = kernel.clock.now()
            listed = store.list(TICKET_PREFIX, after)
            if isinstance(listed, Failure):
                return listed
            numbers = [apply_stored(stored) for stored in listed.unwrap()]
            last = max([last, *filter(None, numbers)])
            if not any(numbers):
                break
        last = max(last, configurations.head())
        memberships.report_head(last, began_at)
        return Success(last)

    def apply_stored(stored):
        """Apply a stored ticket if it can be decoded; return its number.

        An object that no host can have written counts as an empty ticket. A ticket
        with a valid digest that can't be decoded was written by a later version; it
        is not applied, so this host is not current until it is upgraded.
        """
        number = parse_number(stored.path)
        if number is None:
            report_malformed(stored.path, "void", "not the path of a ticket")
            return None
        decoded = codecs.decode_ticket(stored.value)
        is_valid = isinstance(decoded, Success) and decoded.unwrap().number == number
        if is_valid:
            configurations.apply(decoded.unwrap())
        elif isinstance(decoded, Failure) and codecs.has_valid_digest(stored.value):
            report_malformed(stored.path, "unread", str(decoded.failure()))
        else:
            report_malformed(stored.path, "void", "no host wrote it")
            configurations.apply(EMPTY_TICKET._replace(number=number))
        return number

    def report_malformed(path, counts, detail):
        if path not in state.reported_paths:
            state.reported_paths.add(path)
            emit(events.TICKET_MALFORMED, path=path, counts=counts, detail=detail)

    def submit(ticket):
        early_result = check_submission(ticket)
        result = write(ticket) if early_result is None else early_result
        if isinstance(result, Success):
            result = announce(ticket)
        result = result.lash(lambda failure: track_unknown(ticket, failure))
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

    def track_unknown(ticket, failure):
        """Report an unknown outcome as unknown again when the ticket is resubmitted.

        It may become refused only when another ticket has its number.
        """
        if failure.outcome is TicketOutcome.UNKNOWN:
            state.unknown_digests[ticket.digest] = None
            if len(state.unknown_digests) > MAX_UNKNOWN_DIGESTS:
                state.unknown_digests.popitem(last=False)
        elif ticket.digest in state.unknown_digests and not is_number_taken(
            ticket, failure
        ):
            return unknown(f"{failure.detail}; an earlier try may have been accepted")
        return Failure(failure)

    def check_submission(ticket):
        """Return None when the ticket may be written, else the submission's result."""
        caught_up = catch_up()
        if isinstance(caught_up, Failure):
            return refused("the store can't be read; nothing was sent")
        last = caught_up.unwrap()
        if last > configurations.head():
            return refused("this host can't read the latest ticket; nothing was sent")
        if not memberships.has_majority():
            return refused("too few hosts are in reach; nothing was sent")
        if ticket.number <= last:
            return compare_with_stored(ticket, last + 1)
        if ticket.number > last + 1:
            return refused(f"the next number is {last + 1}", last + 1)
        return check_ticket(ticket)

    def check_ticket(ticket):
        for change in ticket.changes:
            last_change = configurations.last_ticket_number(change.kind, change.id)
            if change.base is not None and change.base != last_change:
                name = f"{change.kind} {change.id!r}"
                return refused(
                    f"{name} was changed by ticket {last_change}", ticket.number
                )
        if len(codecs.encode_ticket_text(ticket).encode()) > MAX_TICKET_BYTES:
            return refused(f"changes: must fit in {MAX_TICKET_BYTES} bytes")
        error = check(configurations, ticket)
        return None if error is None else refused(error, ticket.number)

    def compare_with_stored(ticket, expected_number):
        """Determine a ticket's outcome by comparing it with the stored one."""
        read = store.get(ticket_path(ticket.number))
        if isinstance(read, Failure):
            return unknown("the store can't be read; send the same ticket again")
        decoded = codecs.decode_ticket(read.unwrap().value)
        if decoded.map(lambda stored: stored.digest).value_or("") == ticket.digest:
            return Success(ticket)
        return refused(f"number {ticket.number} is taken", expected_number)

    def write(ticket):
        path = ticket_path(ticket.number)
        created = store.create(path, codecs.encode_ticket(ticket))
        if isinstance(created, Success):
            return Success(ticket)
        failure = created.failure()
        if failure.outcome is StoreOutcome.REFUSED and not failure.conflict:
            return refused(failure.detail)
        return compare_with_stored(ticket, ticket.number + 1)

    def announce(ticket):
        configurations.apply(ticket)
        memberships.report_number(ticket.number)
        own, roster = memberships.own(), memberships.roster()
        addresses = {host.peer_address for host in roster if host != own}
        needed = len(roster) // 2
        for _ in range(MAX_ANNOUNCE_ATTEMPTS):
            if needed <= 0:
                return Success(ticket)
            acknowledged = peers.call_all(
                sorted(addresses),
                "tickets.announce",
                AnnounceRequest(ticket.number),
                ANNOUNCE_TIMEOUT_SECONDS,
                needed,
            )
            needed -= len(acknowledged)
            addresses -= set(acknowledged)
        if needed <= 0:
            return Success(ticket)
        return unknown("too few hosts have heard of it; send it again")

    def on_announce(sender, request):
        memberships.report_number(request.number)
        return AnnounceReply(configurations.head())

    def show(number):
        read = store.get(ticket_path(number))
        return read.bind(decode_stored)

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
        state.stale_read_share = (
            STALE_READ_SHARE + STALE_READ_JITTER_SHARE * kernel.rng.random()
        )
        return isinstance(catch_up(), Success)

    def is_stale():
        return memberships.store_age() > state.stale_read_share * MAX_FRESH_AGE_SECONDS

    def is_behind():
        """Tell whether gossip is late to deliver a ticket known to exist."""
        if memberships.known_number() <= configurations.head():
            state.behind_since = None
            return False
        if state.behind_since is None:
            state.behind_since = kernel.clock.now()
        return kernel.clock.now() - state.behind_since > MAX_GOSSIP_DELAY_SECONDS

    def poll_store_forever():
        kernel.find("snapshots").load_once()
        while True:
            watch_once()
            kernel.clock.sleep(WATCH_INTERVAL_SECONDS * (0.5 + kernel.rng.random()))

    peers.serve("tickets.announce", on_announce)
    service = Tickets(submit, show, next_number, watch_once)
    kernel.register("tickets", service, lambda: kernel.spawn(poll_store_forever))
    return service
