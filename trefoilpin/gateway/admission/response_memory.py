"""One limit in bytes on what a host holds for slow callers and slow upstreams.

Counted are responses that are buffered or in progress and the bodies of requests. When
memory runs short, a response whose caller reads nothing is terminated first. At the
next level responses are streamed in small parts rather than buffered, and at the limit
new requests are refused as not run.
"""

from typing import Any, Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.loops import repeat
from trefoilpin.request_services import ResponseMemory
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = [
    "Caller",
    "CallerRecord",
    "Holding",
    "choose_part",
    "choose_terminated",
    "create",
    "has_room_to_buffer",
    "is_full",
    "is_short",
]

# Shares of the limit above which callers that read nothing lose their responses and no
# streamed response is read ahead of its caller, and up to which responses are buffered.
# The rest is for requests in progress.
SHORT_SHARE = 0.6
BUFFER_SHARE = 0.75
# Counted for each request in progress, so that its response can be streamed at any time
# in parts of this size.
REQUEST_BYTES = 16_384
# A streamed response is read on without a pause up to this many bytes ahead of its
# caller; as much as is buffered of a response that fits.
EAGER_BYTES = 1_048_576
PART_BYTES = 65_536
# Beyond that it is read on at this interval, as an upstream may cut off a response that
# is left unread for some seconds.
READ_ON_SECONDS = 0.5
# Time without progress after which a caller counts as reading nothing. A lost packet is
# sent again within less.
STALL_SECONDS = 3.0
STEP_SECONDS = 0.5
# By then a caller that reads nothing may have lost its response. Spread, as all callers
# that were refused would return at once.
MIN_RETRY_SECONDS, RETRY_SPREAD_SECONDS = 1.0, 1.0
DETAIL = "this host holds too much for slow callers"


class Caller(NamedTuple):
    """A caller's connection.

    Attributes
    ----------
    key : hashable
        The same for all requests of the connection.
    name : str
        Address of the caller.
    delivered : callable
        Returns the number of bytes that the caller has acknowledged, or None when it
        has everything that was written.
    terminate : callable
        Ends the connection.
    """

    key: Any
    name: str
    delivered: Callable[[], int | None]
    terminate: Callable[[], None]


class CallerRecord(NamedTuple):
    """What is held for a caller, and the seconds in which it has read nothing."""

    key: Any
    size: int
    stalled_seconds: float


class Holding:
    """What is held for one request.

    Attributes
    ----------
    caller : Caller
    size : int
        Bytes of its response that are in memory.
    counted : int
        Bytes counted toward the limit.
    exchanges : int
        Attempts in progress.
    is_admitted, is_released, is_writing : bool
    stop_functions : list of callable
        End the reading of streamed responses.
    """

    def __init__(self, caller):
        self.caller = caller
        self.size = 0
        self.counted = 0
        self.exchanges = 0
        self.is_admitted = False
        self.is_released = False
        self.is_writing = False
        self.stop_functions = []


class CallerProgress:
    """The last progress of a caller to which a response is being written."""

    def __init__(self, now):
        self.delivered = None
        self.progressed_at = now


class ResponseMemoryState:
    """Bytes that are counted, by request, and the progress of callers."""

    def __init__(self):
        self.counted = 0
        self.holdings: dict[int, Holding] = {}
        self.progress_by_caller: dict[Any, CallerProgress] = {}
        self.is_short = False


def is_short(held, capacity):
    """Tell whether callers that read nothing lose their responses.

    Streamed responses are not read ahead then, so that what becomes free serves others.
    """
    return held > SHORT_SHARE * capacity


def has_room_to_buffer(held, size, capacity):
    """Tell whether further bytes of a response may be buffered."""
    return held + size <= BUFFER_SHARE * capacity


def is_full(held, size, capacity):
    """Tell whether a request that needs this many bytes is refused."""
    return held + size > capacity


def choose_part(ahead, waited, has_room):
    """Return how many bytes of a streamed response to read now; 0 for none yet.

    Parameters
    ----------
    ahead : int
        Bytes that were read and that the caller has not taken.
    waited : float
        Seconds since the last read.
    has_room : bool
        True when a whole part may be buffered.
    """
    if has_room and (ahead < EAGER_BYTES or waited >= READ_ON_SECONDS):
        return PART_BYTES
    return 0 if ahead else REQUEST_BYTES


def choose_terminated(records, held, capacity):
    """Return the keys of callers whose responses are terminated, worst first.

    The worst are those that hold the most bytes for the longest time without progress.

    Parameters
    ----------
    records : iterable of CallerRecord
    held, capacity : int
        Bytes.
    """
    stalled = []
    for record in records:
        if record.stalled_seconds >= STALL_SECONDS and record.size > 0:
            stalled.append(record)
    stalled.sort(key=lambda record: record.size * record.stalled_seconds, reverse=True)
    chosen = []
    for record in stalled:
        if not is_short(held, capacity):
            break
        chosen.append(record.key)
        held -= record.size
    return tuple(chosen)


def create(kernel, capacity):
    """Create the service ``response_memory``.

    Parameters
    ----------
    kernel : Kernel
    capacity : int
        Limit in bytes.

    Returns
    -------
    ResponseMemory
    """
    state = ResponseMemoryState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    body_memory = kernel.find("body_memory")

    def held():
        return state.counted + body_memory.held()

    def update_counted(holding):
        counted = max(holding.size, REQUEST_BYTES) if holding.is_admitted else 0
        state.counted += counted - holding.counted
        holding.counted = counted

    def refuse():
        metrics.count("requests_without_memory")
        seconds = MIN_RETRY_SECONDS + RETRY_SPREAD_SECONDS * kernel.rng.random()
        return Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, DETAIL, seconds)

    def admit(holding):
        if is_full(held(), REQUEST_BYTES, capacity):
            return refuse()
        holding.is_admitted = True
        state.holdings[id(holding)] = holding
        update_counted(holding)
        return None

    def check_body():
        return refuse() if is_full(held(), 0, capacity) else None

    def reserve(holding, size):
        added = max(holding.size + size, REQUEST_BYTES) - holding.counted
        has_room = added <= 0 or has_room_to_buffer(held(), added, capacity)
        if holding.is_released or not has_room:
            return False
        holding.size += size
        update_counted(holding)
        return True

    def give_back(holding, size):
        if not holding.is_released:
            holding.size -= size
            update_counted(holding)

    def take_part(holding, ahead, waited):
        has_memory = not is_short(held() + PART_BYTES, capacity)
        size = choose_part(ahead, waited, has_memory)
        holding.size += size
        update_counted(holding)
        return size

    def report_streamed(request_id):
        metrics.count("responses_streamed_for_memory")
        emit(events.RESPONSE_STREAMED, request_id=request_id, held=held())

    def start_exchange(holding):
        if not holding.exchanges:
            drop_responses(holding)
        holding.exchanges += 1

    def end_exchange(holding):
        holding.exchanges -= 1

    def drop_responses(holding):
        """Drop responses of earlier attempts, which are not passed on."""
        while holding.stop_functions:
            holding.stop_functions.pop()()
        holding.size = 0
        update_counted(holding)

    def release(holding):
        drop_responses(holding)
        holding.is_admitted, holding.is_released = False, True
        update_counted(holding)
        state.holdings.pop(id(holding), None)

    def start_writing(holding):
        holding.is_writing = True

    def read_records():
        """Return the records of the callers to which a response is being written."""
        holdings_by_caller = {}
        for holding in state.holdings.values():
            holdings_by_caller.setdefault(holding.caller.key, []).append(holding)
        records, progress_by_caller = [], {}
        for key, holdings in holdings_by_caller.items():
            if not any(holding.is_writing for holding in holdings):
                continue
            progress = state.progress_by_caller.get(key) or CallerProgress(now())
            delivered = holdings[0].caller.delivered()
            if delivered is None or delivered != progress.delivered:
                progress.delivered = delivered
                progress.progressed_at = now()
            progress_by_caller[key] = progress
            size = sum(holding.size for holding in holdings)
            stalled_seconds = now() - progress.progressed_at
            records.append(CallerRecord(key, size, stalled_seconds))
        state.progress_by_caller = progress_by_caller
        return records

    def step():
        records = read_records()
        was_short, state.is_short = state.is_short, is_short(held(), capacity)
        if was_short != state.is_short:
            emit(
                events.MEMORY_SHORT if state.is_short else events.MEMORY_REGAINED,
                held=held(),
                limit=capacity,
            )
        record_by_key = {record.key: record for record in records}
        caller_by_key = {}
        for holding in state.holdings.values():
            caller_by_key[holding.caller.key] = holding.caller
        for key in choose_terminated(records, held(), capacity):
            metrics.count("responses_terminated")
            emit(
                events.RESPONSE_TERMINATED,
                caller=caller_by_key[key].name,
                bytes=record_by_key[key].size,
                seconds=round(record_by_key[key].stalled_seconds, 1),
            )
            caller_by_key[key].terminate()

    def start():
        kernel.spawn(repeat, kernel.clock.sleep, lambda: STEP_SECONDS, step)

    metrics.gauge("held_bytes", held)
    service = ResponseMemory(
        Holding,
        admit,
        check_body,
        lambda: not is_full(held(), REQUEST_BYTES, capacity),
        reserve,
        give_back,
        take_part,
        report_streamed,
        start_exchange,
        end_exchange,
        start_writing,
        release,
        held,
        step,
    )
    kernel.register("response_memory", service, start)
    return service
