"""Service that writes the log: one line for each event.

Every line has an event's number, its name and its fields. Lines are formatted and
written by a task of their own, so that a request never waits for the log.
"""

import json
import logging
import os
import re
import sys
from collections import deque

import eventlet
import eventlet.event
import eventlet.patcher

from trefoilpin import events
from trefoilpin.configuration_services import Events

__all__ = ["create", "write_standard_output"]

logger = logging.getLogger(__name__)

MAX_WAITING_LINES = 20_000
# Bytes that a pipe that can be written at all takes without blocking (POSIX PIPE_BUF).
PIPE_BYTES = 4096
FULL_PIPE_SECONDS = 0.05
FLUSH_SECONDS = 0.05
LINES_AT_ONCE = 4
NEEDS_QUOTES = re.compile(r'[\s"=]')


class LogState:
    """Lines that wait to be written, and how many were dropped."""

    def __init__(self):
        self.waiting = deque()
        self.dropped = 0
        self.seen_by_number: dict[int, int] = {}
        self.has_lines = eventlet.event.Event()
        self.second = 0
        self.routine = 0
        self.left_out = 0


def write_standard_output(text):
    """Write text without ever blocking the process on a reader that is slow."""
    select = eventlet.patcher.original("select")
    poll = select.poll()
    poll.register(sys.stdout.fileno(), select.POLLOUT)
    data = text.encode()
    for start in range(0, len(data), PIPE_BYTES):
        while not poll.poll(0):
            eventlet.sleep(FULL_PIPE_SECONDS)
        os.write(sys.stdout.fileno(), data[start : start + PIPE_BYTES])


def format_text(when, event, fields):
    """Return a line of ``key=value`` pairs."""
    pairs = [f"{name}={quote(fields.get(name))}" for name in event.fields]
    return " ".join([f"{when:.3f}", f"E{event.number}", event.name, *pairs])


def format_json(when, event, fields):
    """Return a line of JSON."""
    row = {"time": round(when, 3), "event": event.number, "name": event.name}
    return json.dumps(row | fields, default=str)


def quote(value):
    """Return a value as text, in quotation marks when it holds white space."""
    text = "-" if value is None else str(value)
    if text and NEEDS_QUOTES.search(text) is None:
        return text
    return json.dumps(text)


def create(kernel, log_format="text", sample=1, write=None, max_routine=None):
    """Create the service ``events``.

    Parameters
    ----------
    kernel : Kernel
    log_format : {"text", "json"}
    sample : int
        One in this many lines of a sampled event is written.
    write : callable, optional
        ``write(text)`` takes finished lines; standard error by default.
    max_routine : int, optional
        Lines of sampled events that are written in a second; how many more there were
        is told.

    Returns
    -------
    Events
    """
    state = LogState()
    wall = kernel.clock.wall
    line = format_json if log_format == "json" else format_text
    write = write or sys.stderr.write

    def emit(event, **fields):
        if not logger.isEnabledFor(event.level):
            return
        if event.sampled and sample > 1:
            seen = state.seen_by_number.get(event.number, 0)
            state.seen_by_number[event.number] = seen + 1
            if seen % sample:
                return
        if event.sampled and max_routine is not None and is_over_bound():
            return
        if len(state.waiting) >= MAX_WAITING_LINES:
            state.dropped += 1
            return
        state.waiting.append((wall(), event, fields))
        if not state.has_lines.ready():
            state.has_lines.send()

    def is_over_bound():
        """Count a routine line; True when its second has had enough of them."""
        second = int(wall())
        if second != state.second:
            left_out, state.left_out = state.left_out, 0
            state.second, state.routine = second, 0
            if left_out:
                emit(events.LINES_LEFT_OUT, lines=left_out)
        state.routine += 1
        if state.routine <= max_routine:
            return False
        state.left_out += 1
        return True

    def write_some(count):
        """Write up to a number of lines, so that requests wait for few at a time."""
        lines = []
        while state.waiting and len(lines) < count:
            when, event, fields = state.waiting.popleft()
            lines.append(line(when, event, fields))
        if state.dropped:
            lines.append(f"{wall():.3f} {state.dropped} lines were dropped")
            state.dropped = 0
        if lines:
            write("\n".join(lines) + "\n")

    def flush():
        while state.waiting or state.dropped:
            write_some(MAX_WAITING_LINES)

    def write_forever():
        while True:
            state.has_lines.wait()
            state.has_lines = eventlet.event.Event()
            while state.waiting or state.dropped:
                write_some(LINES_AT_ONCE)
                eventlet.sleep(0)
            eventlet.sleep(FLUSH_SECONDS)

    service = Events(emit, flush)
    kernel.register("events", service, lambda: kernel.spawn(write_forever), flush)
    return service
