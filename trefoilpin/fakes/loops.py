"""Single-threaded simulation: a manual clock, a lossy network and a fake store.

The real functions of several hosts run in one process. A call between hosts is a
function call that may be lost, and only the simulation advances the time.
"""

import random
from typing import Any, Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin.fakes.stores import create_objects
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.services import (
    Events,
    PeerFailure,
    Peers,
    Store,
    StoreChange,
    StoredObject,
    StoreFailure,
    StoreOutcome,
)

__all__ = [
    "LoopState",
    "Network",
    "create_host_kernel",
    "create_network",
    "create_store",
    "movable_clock",
]

FIRST_INSTANT = 1000.0


class LoopState:
    """Time, faults and peer message handlers of one simulation."""

    def __init__(self, seed):
        self.now = FIRST_INSTANT
        self.rng = random.Random(seed)
        self.loss_share = 0.0
        self.cut_pairs: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.dead: set[str] = set()
        self.handler_by_method_by_address: dict[str, dict[str, Callable]] = {}
        self.calls = 0
        self.lost_seconds_by_address: dict[str, float] = {}


class Network(NamedTuple):
    """``connect(address, incarnation)`` returns the ``Peers`` of one host."""

    state: LoopState
    connect: Callable[[str, str], Peers]


def movable_clock(state):
    """Return a clock that reads ``state.now``.

    Only the simulation and the clock's ``sleep`` advance it.
    """

    def sleep(seconds):
        state.now += seconds

    return Clock(now=lambda: state.now, wall=lambda: state.now, sleep=sleep)


def create_host_kernel(state, emit=None, spawn=None):
    """Return a kernel whose tasks do not run by default.

    The simulation calls the steps of the tasks itself.
    """
    rng = random.Random(state.rng.random())
    kernel = create_kernel(movable_clock(state), spawn or (lambda *task: None), rng)
    emit = emit or (lambda event, **fields: None)
    kernel.register("events", Events(emit, lambda: None))
    return kernel


def create_network(state):
    """Create a network on which a call between hosts is a function call.

    A request or a reply is lost with probability ``state.loss_share``, and always when
    ``state.cut_pairs`` holds its ``(sender, receiver)`` addresses. A request is also
    lost when its receiver is frozen or dead.
    """

    def is_delivered(sender, receiver):
        if (sender, receiver) in state.cut_pairs:
            return False
        return state.rng.random() >= state.loss_share

    def connect(address, incarnation):
        handler_by_method = state.handler_by_method_by_address.setdefault(address, {})

        def call(receiver, method, message, timeout):
            state.calls += 1
            result = call_once(receiver, method, message)
            if isinstance(result, Failure) and result.failure().may_have_arrived:
                lost = state.lost_seconds_by_address.get(address, 0.0)
                state.lost_seconds_by_address[address] = lost + timeout
            return result

        def call_once(receiver, method, message):
            if receiver not in state.handler_by_method_by_address:
                return Failure(PeerFailure(False, "no connection"))
            down = receiver in state.dead or receiver in state.frozen
            if down or not is_delivered(address, receiver):
                return Failure(PeerFailure(True, "timeout"))
            handler = state.handler_by_method_by_address[receiver].get(method)
            if handler is None:
                return Failure(PeerFailure(True, f"no method {method!r}"))
            reply = handler(incarnation, message)
            if not is_delivered(receiver, address):
                return Failure(PeerFailure(True, "timeout"))
            return Success(reply)

        def call_all(receivers, method, message, timeout, enough):
            responders = []
            for receiver in receivers:
                if len(responders) >= enough:
                    break
                if isinstance(call(receiver, method, message, timeout), Success):
                    responders.append(receiver)
            return tuple(responders)

        return Peers(call, handler_by_method.__setitem__, call_all)

    return Network(state, connect)


class StoreFaults:
    """Faults that the store injects now."""

    def __init__(self):
        self.down = False
        self.lose_share = 0.0
        self.refuse_share = 0.0


def create_store(state, objects=None):
    """Create a store whose calls are function calls, and the faults that it injects.

    Parameters
    ----------
    state : LoopState
    objects : Objects, optional
        Shared between hosts; new ones by default.

    Returns
    -------
    tuple of Store, StoreFaults, Objects
    """
    objects = objects or create_objects(state.rng)
    faults = StoreFaults()
    outcome_unknown = Failure(StoreFailure(StoreOutcome.UNKNOWN, "timeout"))

    def call_store(call, *arguments) -> Any:
        if faults.down:
            return outcome_unknown
        if state.rng.random() < faults.refuse_share:
            return Failure(StoreFailure(StoreOutcome.REFUSED, "over the rate"))
        reply = call(*arguments)
        if state.rng.random() < faults.lose_share:
            return outcome_unknown
        if reply.status == 404:
            failure = StoreFailure(StoreOutcome.REFUSED, "missing", missing=True)
            return Failure(failure)
        if reply.status == 412:
            failure = StoreFailure(StoreOutcome.REFUSED, "conflict", conflict=True)
            return Failure(failure)
        return Success(reply.body)

    def decode_object(row):
        return StoredObject(row["path"], row["version"], row["value"])

    def decode_change(row):
        stored = None if row["deleted"] else decode_object(row)
        return StoreChange(row["path"], row["version"], stored)

    def list_objects(prefix, after=""):
        rows = call_store(objects.list, prefix, after)
        return rows.map(lambda found: tuple(map(decode_object, found)))

    def watch(prefix, version, timeout):
        rows = call_store(objects.changes, prefix, version)
        return rows.map(lambda found: tuple(map(decode_change, found)))

    store = Store(
        get=lambda path: call_store(objects.get, path).map(decode_object),
        list=list_objects,
        create=lambda path, value: call_store(objects.put, path, value, 0).map(
            decode_object
        ),
        update=lambda path, value, version: call_store(
            objects.put, path, value, version
        ).map(decode_object),
        delete=lambda path, version: call_store(objects.delete, path, version),
        watch=watch,
    )
    return store, faults, objects
