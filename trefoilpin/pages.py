"""Generates the reference pages in ``docs`` from the code.

``python -m trefoilpin.pages`` writes ``docs/events.md``, ``docs/settings.md`` and
``docs/refusals.md``; a test checks that they are up to date.
"""

import logging
import pathlib

from trefoilpin import events, settings
from trefoilpin.verdicts import Reason

__all__ = ["PAGE_BY_NAME", "render_events", "render_refusals"]

DOCS = pathlib.Path(__file__).parent.parent / "docs"

EVENTS_HEAD = """# Log events

Every line has the time in seconds since the epoch, the event's number and name, and
its fields as `key=value`, or all of it as JSON with `log.format = "json"`. Lines of
sampled events are thinned by `log.sample`; refusals are never thinned.

| number | name | level | fields | meaning |
|---|---|---|---|---|
"""

REFUSALS_HEAD = """# Refusals

A refusal is JSON with `request_id`, `reason`, `verdict`, `detail`, `retry` and, where
it helps, `retry_after` in seconds, which the header `Retry-After` gives in whole
seconds, and in hundredths on the gateway over a store that others write. There, the
time of `rate_exceeded` and of `overloaded` is when there is room for the request behind
the callers that were told before; less urgent callers are asked to come back later.

| reason | status | may succeed when sent again unchanged |
|---|---|---|
"""


def render_events():
    """Return the catalogue of log events as Markdown."""
    lines = []
    for event in sorted(events.CATALOGUE, key=lambda event: event.number):
        level = logging.getLevelName(event.level).lower()
        name = f"{event.name} (sampled)" if event.sampled else event.name
        fields = ", ".join(f"`{field}`" for field in event.fields)
        row = (str(event.number), name, level, fields, event.meaning)
        lines.append("| " + " | ".join(row) + " |")
    return EVENTS_HEAD + "\n".join(lines) + "\n"


def render_refusals():
    """Return the reasons of refusals as Markdown."""
    lines = []
    for reason in Reason:
        code, status, retryable = reason.value
        lines.append(f"| `{code}` | {status} | {'yes' if retryable else 'no'} |")
    return REFUSALS_HEAD + "\n".join(lines) + "\n"


PAGE_BY_NAME = {
    "events.md": render_events,
    "refusals.md": render_refusals,
    "settings.md": settings.render,
}


def main():
    """Write all generated pages."""
    for name, render in PAGE_BY_NAME.items():
        (DOCS / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    main()
