"""Explains the outcome of a request from the log lines of the hosts that handled it.

A line is JSON after an optional prefix added by a log collector. Besides the lines of
the request itself, the context is shown: lines of shortly before in which the same
host changed its view of the configuration or of an upstream that the request was sent
to.
"""

import json

from trefoilpin import events

__all__ = ["explain", "read_lines"]

REQUEST_EVENTS = (
    events.ATTEMPT_ENDED,
    events.GATEWAY_ANSWERED,
    events.GATEWAY_REFUSED,
    events.ANSWER_DROPPED,
    events.CALLER_GONE,
    events.REQUEST_FAILED,
)
UPSTREAM_EVENTS = (
    events.SOUNDNESS_CHANGED,
    events.UPSTREAM_AVOIDED,
    events.UPSTREAM_DRAINING,
)
HOST_EVENTS = (
    events.KNOWLEDGE_CHANGED,
    events.STORE_LOST,
    events.STORE_REGAINED,
    events.GATEWAY_STARTED,
    events.GATEWAY_STOPPING,
    events.LINES_LEFT_OUT,
)
# Lines up to this long before a line of the request count as its context.
MAX_CONTEXT_AGE_SECONDS = 5.0
EVENT_BY_NUMBER = {event.number: event for event in events.CATALOGUE}


def read_lines(text_lines):
    """Parse the log lines in a text; other lines are skipped.

    Parameters
    ----------
    text_lines : iterable of str

    Returns
    -------
    list of dict
        The fields of each line; ``prefix`` holds the words before them.
    """
    rows = []
    for text in text_lines:
        prefix, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            row = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(row, dict) and row.get("event") in EVENT_BY_NUMBER:
            rows.append(row | {"prefix": prefix.split()})
    return rows


def host_name(row):
    """Return the host name, the last word of the prefix; empty without a prefix."""
    return row["prefix"][-1] if row["prefix"] else ""


def is_context(row, request_rows):
    """Tell whether a line is context of one of a request's lines."""
    event = EVENT_BY_NUMBER[row["event"]]
    for request_row in request_rows:
        if host_name(request_row) != host_name(row):
            continue
        if not 0 <= request_row["time"] - row["time"] <= MAX_CONTEXT_AGE_SECONDS:
            continue
        if event in HOST_EVENTS:
            return True
        if event in UPSTREAM_EVENTS and row.get("upstream") == request_row.get(
            "upstream"
        ):
            return True
    return False


def format_row(row):
    """Format a row for display, with the event's meaning."""
    event = EVENT_BY_NUMBER[row["event"]]
    fields = []
    for name in event.fields:
        if row.get(name) is not None:
            fields.append(f"{name}={row[name]}")
    text = f"{row['time']:.3f} {host_name(row)} {event.name}: {', '.join(fields)}"
    return f"{text}\n    {event.meaning}"


def explain(text_lines, request_id):
    """Return the lines of a request and their context, in order of time.

    Parameters
    ----------
    text_lines : iterable of str
    request_id : str

    Returns
    -------
    list of str
        Empty when no line belongs to the request.
    """
    rows = read_lines(text_lines)
    numbers = {event.number for event in REQUEST_EVENTS}
    request_rows = []
    for row in rows:
        if row.get("request_id") == request_id and row["event"] in numbers:
            request_rows.append(row)
    if not request_rows:
        return []
    shown = [
        row for row in rows if row in request_rows or is_context(row, request_rows)
    ]
    shown.sort(key=lambda row: row["time"])
    return [format_row(row) for row in shown]
