"""Plain loop for measures of decisions: a movable clock, a lossy call, a store.

The real functions of several hosts run in one process; a call between hosts is a
plain call that may get lost, and time moves only when the loop moves it.
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
    """Time, faults and handlers of everything in one loop."""

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
    """``connect(address, incarnation)`` gives the ``Peers`` of one host."""

    state: LoopState
    connect: Callable[[str, str], Peers]


def movable_clock(state):
    """Return a clock that stands still until the loop moves ``state.now``."""

    def sleep(seconds):
        state.now += seconds

    return Clock(now=lambda: state.now, wall=lambda: state.now, sleep=sleep)


def create_host_kernel(state, emit=None, spawn=None):
    """Return a kernel whose tasks do not run: the loop calls their steps."""
    rng = random.Random(state.rng.random())
    kernel = create_kernel(movable_clock(state), spawn or (lambda *task: None), rng)
    emit = emit or (lambda event, **fields: None)
    kernel.register("events", Events(emit, lambda: None))
    return kernel


def create_network(state):
    """Create a network of plain calls.

    A message or its reply is lost with ``state.loss_share``, when the pair
    ``(sender, receiver)`` of addresses is cut in its direction, or when the receiver
    is frozen or dead.
    """

    def passes(sender, receiver):
        if (sender, receiver) in state.cut_pairs:
            return False
        return state.rng.random() >= state.loss_share

    def connect(address, incarnation):
        handler_by_method = state.handler_by_method_by_address.setdefault(address, {})

        def call(receiver, method, message, timeout):
            state.calls += 1
            result = exchange(receiver, method, message)
            if isinstance(result, Failure) and result.failure().may_have_arrived:
                lost = state.lost_seconds_by_address.get(address, 0.0)
                state.lost_seconds_by_address[address] = lost + timeout
            return result

        def exchange(receiver, method, message):
            if receiver not in state.handler_by_method_by_address:
                return Failure(PeerFailure(False, "no connection"))
            down = receiver in state.dead or receiver in state.frozen
            if down or not passes(address, receiver):
                return Failure(PeerFailure(True, "timeout"))
            handler = state.handler_by_method_by_address[receiver].get(method)
            if handler is None:
                return Failure(PeerFailure(True, f"no method {method!r}"))
            reply = handler(incarnation, message)
            if not passes(receiver, address):
                return Failure(PeerFailure(True, "timeout"))
            return Success(reply)

        def call_all(receivers, method, message, timeout, enough):
            replied = []
            for receiver in receivers:
                if len(replied) >= enough:
                    break
                if isinstance(call(receiver, method, message, timeout), Success):
                    replied.append(receiver)
            return tuple(replied)

        return Peers(call, handler_by_method.__setitem__, call_all)

    return Network(state, connect)


class StoreFaults:
    """What is wrong with the store now."""

    def __init__(self):
        self.down = False
        self.lose_share = 0.0
        self.refuse_share = 0.0


def create_store(state, objects=None):
    """Create a store of plain calls with its faults.

    Parameters
    ----------
    state : LoopState
    objects : Objects, optional
        Shared between hosts; a new one by default.

    Returns
    -------
    tuple of Store, StoreFaults, Objects
    """
    objects = objects or create_objects(state.rng)
    faults = StoreFaults()
    unknown = Failure(StoreFailure(StoreOutcome.UNKNOWN, "timeout"))

    def attempt(call, *arguments) -> Any:
        if faults.down:
            return unknown
        if state.rng.random() < faults.refuse_share:
            return Failure(StoreFailure(StoreOutcome.REFUSED, "over the rate"))
        reply = call(*arguments)
        if state.rng.random() < faults.lose_share:
            return unknown
        if reply.status == 404:
            failure = StoreFailure(StoreOutcome.REFUSED, "missing", missing=True)
            return Failure(failure)
        if reply.status == 412:
            failure = StoreFailure(StoreOutcome.REFUSED, "conflict", conflict=True)
            return Failure(failure)
        return Success(reply.body)

    def decode(row):
        return StoredObject(row["path"], row["version"], row["value"])

    def decode_change(row):
        stored = None if row["deleted"] else decode(row)
        return StoreChange(row["path"], row["version"], stored)

    def list_objects(prefix, after=""):
        rows = attempt(objects.list, prefix, after)
        return rows.map(lambda found: tuple(map(decode, found)))

    def watch(prefix, version, timeout):
        rows = attempt(objects.changes, prefix, version)
        return rows.map(lambda found: tuple(map(decode_change, found)))

    store = Store(
        get=lambda path: attempt(objects.get, path).map(decode),
        list=list_objects,
        create=lambda path, value: attempt(objects.put, path, value, 0).map(decode),
        update=lambda path, value, version: attempt(
            objects.put, path, value, version
        ).map(decode),
        delete=lambda path, version: attempt(objects.delete, path, version),
        watch=watch,
    )
    return store, faults, objects
