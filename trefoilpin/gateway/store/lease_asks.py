"""Asks of a host for what the holder of the lease grants, and their responses.

An ask is sent soon after something was wanted, and a fixed time after the last one at
least. What was granted counts from the moment before the ask was sent, by the clock of
the host that asked, so a response may be as late as it likes.
"""

from typing import Any, Callable, NamedTuple

__all__ = ["LeaseAsks", "SentAsk", "create"]

# The first ask of a start has a number below this one, drawn at random, so that a late
# response to an ask of an earlier start meets none.
MAX_FIRST_NUMBER = 1 << 52
# Without a response of the holder to so many asks over this time, two hosts that were
# asked have been passed over, and nothing may be granted for seconds.
UNANSWERED_SECONDS = 0.7
UNANSWERED_ASKS = 3
# After this time without asks, another host may hold the lease by now.
FORGET_SECONDS = 3.0


class SentAsk(NamedTuple):
    """An ask that has no response yet.

    Attributes
    ----------
    sent_at : float
        Clock time before it was sent.
    wants : Any
        As returned by ``take_wants``.
    """

    sent_at: float
    wants: Any


class LeaseAsks(NamedTuple):
    """Asks of one kind.

    ``schedule()`` has an ask sent soon, and ``on_ask(function)`` has ``function(number,
    wants)`` called with it. ``receive(number, is_holder)`` takes a response and returns
    the ``SentAsk`` or None, also when the response is a repeated one.
    ``is_holder_away()`` tells whether the asks of some time found no host that grants.
    """

    schedule: Callable[[], None]
    on_ask: Callable
    receive: Callable[[int, bool], SentAsk | None]
    is_holder_away: Callable[[], bool]


class AskState:
    """The asks of this host.

    Attributes
    ----------
    unanswered_since : float or None
        Clock time of the first ask since which no holder of the lease responded.
    unanswered : int
        Number of these asks.
    """

    def __init__(self, first_number):
        self.number = first_number
        self.asked_at = float("-inf")
        self.is_scheduled = False
        self.unanswered_since: float | None = None
        self.unanswered = 0
        self.sent_by_number: dict[int, SentAsk] = {}
        self.listeners: list[Callable] = []


def create(kernel, name, period, valid_seconds, take_wants):
    """Create the asks of one kind.

    Parameters
    ----------
    kernel : Kernel
    name : str
        Prefix of the counter of asks.
    period : float
        Seconds between two asks at least.
    valid_seconds : float
        Time after an ask for which its response is of use.
    take_wants : callable
        Returns what is wanted by now, which later asks don't want again; an ask with
        nothing in it isn't sent.

    Returns
    -------
    LeaseAsks
    """
    state = AskState(kernel.rng.randrange(MAX_FIRST_NUMBER))
    now, sleep = kernel.clock.now, kernel.clock.sleep
    metrics = kernel.find("metrics")

    def schedule():
        if state.listeners and not state.is_scheduled:
            state.is_scheduled = True
            kernel.spawn(ask)

    def ask():
        sleep(max(state.asked_at + period - now(), 0.0))
        state.is_scheduled = False
        wants = take_wants()
        if not wants:
            return
        state.number += 1
        if state.unanswered_since is None or is_forgotten():
            state.unanswered_since, state.unanswered = now(), 0
        state.unanswered += 1
        state.asked_at = now()
        for number, sent in list(state.sent_by_number.items()):
            if now() - sent.sent_at >= valid_seconds:
                del state.sent_by_number[number]
        state.sent_by_number[state.number] = SentAsk(now(), wants)
        metrics.count(f"{name}_asks")
        for function in state.listeners:
            function(state.number, wants)

    def is_forgotten():
        return now() - state.asked_at >= FORGET_SECONDS

    def is_holder_away():
        since = state.unanswered_since
        if since is None or is_forgotten() or state.unanswered < UNANSWERED_ASKS:
            return False
        return now() - since >= UNANSWERED_SECONDS

    def receive(number, is_holder):
        if is_holder:
            state.unanswered_since = None
        return state.sent_by_number.pop(number, None)

    return LeaseAsks(schedule, state.listeners.append, receive, is_holder_away)
