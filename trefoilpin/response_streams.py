"""Reads a streamed response on while its caller reads slowly.

A task of its own reads the response from the upstream, as far as there is memory for
it, so that an upstream doesn't cut off a response that is left unread.
"""

from collections import deque
from typing import Callable, NamedTuple

import eventlet
import eventlet.event

__all__ = ["PartSource", "StreamState", "read_ahead"]

# Memory may become free without an event of this response.
MEMORY_CHECK_SECONDS = 0.1


class PartSource(NamedTuple):
    """Where a response comes from.

    Attributes
    ----------
    open_parts : callable
        ``open_parts(take_room)`` returns an iterator of the response's parts.
        ``take_room()`` is called before each read; it waits until there is memory and
        returns how many bytes may be read.
    close : callable
        Ends the response before its end.
    beginning : bytes
        What was read already, counted in the holding.
    """

    open_parts: Callable
    close: Callable[[], None]
    beginning: bytes


class StreamState:
    """Parts that were read and not taken.

    Attributes
    ----------
    ahead : int
        Bytes that were read and are not written to the caller.
    room : int
        Bytes that are counted for the next part.
    is_done, is_complete : bool
        True when nothing more is read, and when the whole response was read.
    """

    def __init__(self):
        self.parts = deque()
        self.ahead = 0
        self.room = 0
        self.read_at = 0.0
        self.is_done = False
        self.is_complete = False
        self.error = None
        self.changed = eventlet.event.Event()


def read_ahead(source, memory, holding, now):
    """Start to read a response and return an iterator of its parts.

    Parameters
    ----------
    source : PartSource
    memory : ResponseMemory
    holding : Holding
    now : callable

    Returns
    -------
    iterator of bytes
        Raises ``OSError`` when the response ends early.
    """
    state = StreamState()
    state.read_at = now()

    def notify():
        if not state.changed.ready():
            state.changed.send()

    def wait(seconds=None):
        if state.changed.ready():
            state.changed = eventlet.event.Event()
        state.changed.wait(seconds)

    def take_room():
        while True:
            waited = now() - state.read_at
            state.room = memory.take_part(holding, state.ahead, waited)
            if state.room:
                return state.room
            wait(MEMORY_CHECK_SECONDS)

    def add(part):
        state.parts.append(part)
        state.ahead += len(part)

    def read():
        try:
            for part in source.open_parts(take_room):
                memory.give_back(holding, state.room - len(part))
                state.room = 0
                state.read_at = now()
                add(part)
                notify()
            state.is_complete = True
        except OSError as error:
            state.error = error
        finally:
            memory.give_back(holding, state.room)
            state.is_done = True
            notify()

    def stop():
        if not state.is_done:
            state.is_done = True
            task.kill()
            source.close()
        state.parts.clear()

    def take_parts():
        try:
            while True:
                if state.parts:
                    part = state.parts.popleft()
                    size = len(part)
                    yield part
                    del part
                    state.ahead -= size
                    memory.give_back(holding, size)
                    notify()
                elif not state.is_done:
                    wait()
                elif state.is_complete:
                    return
                else:
                    raise OSError("the response ended early") from state.error
        finally:
            stop()

    if source.beginning:
        add(source.beginning)
    task = eventlet.spawn(read)
    holding.stop_functions.append(stop)
    return take_parts()
