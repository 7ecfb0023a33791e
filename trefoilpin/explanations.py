"""Why a request ended as it did, from the log lines of the hosts that had it.

A line is JSON, behind whatever prefix a log collector adds. Besides the request's own
lines, those are shown that changed what the host believed of an upstream that the
request was sent to, or of the configuration, shortly before.
"""

import json

from trefoilpin import events

__all__ = ["explain", "read_lines"]

OWN_EVENTS = (
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
# What a host believed before a request is told by lines of this time.
CONTEXT_SECONDS = 5.0
EVENT_BY_NUMBER = {event.number: event for event in events.CATALOGUE}


def read_lines(text_lines):
    """Return the log rows among lines of text, each with its prefix.

    Parameters
    ----------
    text_lines : iterable of str

    Returns
    -------
    list of dict
        The fields of each line; ``prefix`` is what stood before them.
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


def host_of(row):
    """Return the part of a prefix that names the host; empty without one."""
    return row["prefix"][-1] if row["prefix"] else ""


def is_context(row, own_rows):
    """Tell whether a line changed a belief on which a request's lines depend."""
    event = EVENT_BY_NUMBER[row["event"]]
    for own in own_rows:
        if host_of(own) != host_of(row):
            continue
        if not 0 <= own["time"] - row["time"] <= CONTEXT_SECONDS:
            continue
        if event in HOST_EVENTS:
            return True
        if event in UPSTREAM_EVENTS and row.get("upstream") == own.get("upstream"):
            return True
    return False


def describe(row):
    """Return a line as a sentence with its fields."""
    event = EVENT_BY_NUMBER[row["event"]]
    fields = []
    for name in event.fields:
        if row.get(name) is not None:
            fields.append(f"{name}={row[name]}")
    text = f"{row['time']:.3f} {host_of(row)} {event.name}: {', '.join(fields)}"
    return f"{text}\n    {event.meaning}"


def explain(text_lines, request_id):
    """Return what the log tells of a request, in order of time.

    Parameters
    ----------
    text_lines : iterable of str
    request_id : str

    Returns
    -------
    list of str
        Empty when no line names the request.
    """
    rows = read_lines(text_lines)
    numbers = {event.number for event in OWN_EVENTS}
    own_rows = []
    for row in rows:
        if row.get("request_id") == request_id and row["event"] in numbers:
            own_rows.append(row)
    if not own_rows:
        return []
    shown = [row for row in rows if row in own_rows or is_context(row, own_rows)]
    shown.sort(key=lambda row: row["time"])
    return [describe(row) for row in shown]
