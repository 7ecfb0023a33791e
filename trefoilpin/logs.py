"""Structured log with one line for each event.

Every line contains the event's number, name and fields. A task of its own formats and
writes the lines, so that no request waits for the log.
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

MAX_BUFFERED_LINES = 20_000
# POSIX PIPE_BUF: a write of this size to a pipe that polls as writable never blocks.
PIPE_CHUNK_BYTES = 4096
FULL_PIPE_RETRY_SECONDS = 0.05
FLUSH_INTERVAL_SECONDS = 0.05
LINES_PER_BATCH = 4
# A longer field holds what others wrote, of which the beginning tells enough.
MAX_FIELD_CHARACTERS = 1000
MAX_LIMITED_LINES_PER_MINUTE = 30
NEEDS_QUOTES = re.compile(r'[\s"=]')


class LogState:
    """Buffered lines and the counts of sampled, dropped and left out ones.

    Attributes
    ----------
    buffered : deque
        Time, event and fields of each line that is not written yet.
    dropped_lines : int
        Lines dropped because the buffer was full.
    count_by_number : dict
        Occurrences of each sampled event.
    routine_lines : int
        Lines of sampled events in ``current_second``.
    left_out_lines : int
        Those of them over the limit.
    current_minute : int
    limited_lines_by_number : dict
        Lines of each limited event in ``current_minute``.
    """

    def __init__(self):
        self.buffered = deque()
        self.dropped_lines = 0
        self.count_by_number: dict[int, int] = {}
        self.has_lines = eventlet.event.Event()
        self.current_second = 0
        self.routine_lines = 0
        self.left_out_lines = 0
        self.current_minute = 0
        self.limited_lines_by_number: dict[int, int] = {}


def write_standard_output(text):
    """Write text to standard output without blocking the process on a slow reader."""
    select = eventlet.patcher.original("select")
    poll = select.poll()
    poll.register(sys.stdout.fileno(), select.POLLOUT)
    data = text.encode()
    for start in range(0, len(data), PIPE_CHUNK_BYTES):
        while not poll.poll(0):
            eventlet.sleep(FULL_PIPE_RETRY_SECONDS)
        os.write(sys.stdout.fileno(), data[start : start + PIPE_CHUNK_BYTES])


def format_text(timestamp, event, fields):
    """Return a line of ``key=value`` pairs."""
    pairs = [f"{name}={quote(fields.get(name))}" for name in event.fields]
    return " ".join([f"{timestamp:.3f}", f"E{event.number}", event.name, *pairs])


def format_json(timestamp, event, fields):
    """Return a line of JSON."""
    row = {"time": round(timestamp, 3), "event": event.number, "name": event.name}
    return json.dumps(row | fields, default=str)


def shorten(fields):
    """Return the fields of an event; of long texts only the beginning."""
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
            fields[name] = f"{value[:MAX_FIELD_CHARACTERS]}..."
    return fields


def quote(value):
    """Return a value as text, quoted when it contains white space, ``"`` or ``=``."""
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
        ``write(text)`` receives formatted lines; standard error by default.
    max_routine : int, optional
        Maximum lines of sampled events per second; the number of those left out is
        logged.

    Returns
    -------
    Events
    """
    state = LogState()
    wall = kernel.clock.wall
    format_line = format_json if log_format == "json" else format_text
    write = write or sys.stderr.write

    def emit(event, **fields):
        if not logger.isEnabledFor(event.level):
            return
        if event.sampled and sample > 1:
            seen = state.count_by_number.get(event.number, 0)
            state.count_by_number[event.number] = seen + 1
            if seen % sample:
                return
        if event.sampled and max_routine is not None and is_over_line_limit():
            return
        if event.limited and is_over_limit_of_event(event):
            return
        if len(state.buffered) >= MAX_BUFFERED_LINES:
            state.dropped_lines += 1
            return
        state.buffered.append((wall(), event, shorten(fields)))
        if not state.has_lines.ready():
            state.has_lines.send()

    def is_over_line_limit():
        """Count a line of a sampled event; True when its second is over the limit."""
        second = int(wall())
        if second != state.current_second:
            left_out, state.left_out_lines = state.left_out_lines, 0
            state.current_second, state.routine_lines = second, 0
            if left_out:
                emit(events.LINES_LEFT_OUT, lines=left_out)
        state.routine_lines += 1
        if state.routine_lines <= max_routine:
            return False
        state.left_out_lines += 1
        return True

    def is_over_limit_of_event(event):
        """Count a line of a limited event; True when its minute is over the limit."""
        minute = int(wall()) // 60
        if minute != state.current_minute:
            lines_by_number, state.limited_lines_by_number = (
                state.limited_lines_by_number,
                {},
            )
            state.current_minute = minute
            report_left_out(lines_by_number)
        lines = state.limited_lines_by_number.get(event.number, 0) + 1
        state.limited_lines_by_number[event.number] = lines
        return lines > MAX_LIMITED_LINES_PER_MINUTE

    def report_left_out(lines_by_number):
        for number, lines in lines_by_number.items():
            left_out = lines - MAX_LIMITED_LINES_PER_MINUTE
            if left_out > 0:
                emit(
                    events.LIMITED_LINES_LEFT_OUT, limited_event=number, lines=left_out
                )

    def write_batch(count):
        """Write at most ``count`` lines; requests may run between two batches."""
        lines = []
        while state.buffered and len(lines) < count:
            timestamp, event, fields = state.buffered.popleft()
            lines.append(format_line(timestamp, event, fields))
        if state.dropped_lines:
            lines.append(f"{wall():.3f} {state.dropped_lines} lines were dropped")
            state.dropped_lines = 0
        if lines:
            write("\n".join(lines) + "\n")

    def flush():
        while state.buffered or state.dropped_lines:
            write_batch(MAX_BUFFERED_LINES)

    def write_forever():
        while True:
            state.has_lines.wait()
            state.has_lines = eventlet.event.Event()
            while state.buffered or state.dropped_lines:
                write_batch(LINES_PER_BATCH)
                eventlet.sleep(0)
            eventlet.sleep(FLUSH_INTERVAL_SECONDS)

    service = Events(emit, flush)
    kernel.register("events", service, lambda: kernel.spawn(write_forever), flush)
    return service
