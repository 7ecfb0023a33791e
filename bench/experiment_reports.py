"""What callers saw in an experiment, as a table and as a page with plots."""

import base64
import html
import io
import sys
from typing import NamedTuple

__all__ = ["Row", "format_table", "summarize", "write_page"]

STEP_SECONDS = 1.0
MILLISECONDS = 1000
PAGE = """<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>{title}</title></head>
<body><h1>{title}</h1><p>{summary}</p>{plots}<pre>{table}</pre></body></html>
"""


class Row(NamedTuple):
    """One second of an experiment.

    Attributes
    ----------
    served, refused, failed : int
        Answers of upstreams, refusals that say the request has not run, and the rest.
    median, worst : float
        Milliseconds of the served ones, at the median and for 99 in 100.
    """

    second: int
    served: int
    refused: int
    failed: int
    median: float
    worst: float


def percentile(values, share):
    """Return the value below which a share of sorted values lies; 0 for none."""
    if not values:
        return 0.0
    return values[min(int(len(values) * share), len(values) - 1)]


def summarize(records, began_at):
    """Return a row for each second, by the time of sending."""
    records_by_second = {}
    for sent in records:
        second = int((sent.sent_at - began_at) / STEP_SECONDS)
        records_by_second.setdefault(second, []).append(sent)
    rows = []
    for second, found in sorted(records_by_second.items()):
        served = [sent for sent in found if sent.status == 200]
        refused = sum(sent.is_not_run for sent in found)
        times = sorted(
            (sent.finished_at - sent.sent_at) * MILLISECONDS for sent in served
        )
        failed = len(found) - len(served) - refused
        row = Row(
            second,
            len(served),
            refused,
            failed,
            round(percentile(times, 0.5), 1),
            round(percentile(times, 0.99), 1),
        )
        rows.append(row)
    return rows


def format_table(summary, rows):
    """Return rows as text under a line that says what was played."""
    lines = [summary, " ".join(f"{name:>8}" for name in Row._fields)]
    for row in rows:
        lines.append(" ".join(f"{value:>8}" for value in row))
    return "\n".join(lines)


def draw_plots(rows):
    """Return the plots as PNG images within HTML; a note without matplotlib."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        print("no plots: install the extra `plots`", file=sys.stderr)
        return "<p>Plots need the extra <code>plots</code>.</p>"
    figure = Figure(figsize=(9, 6))
    counts, times = figure.subplots(2, 1, sharex=True)
    seconds = [row.second for row in rows]
    for name in ("served", "refused", "failed"):
        counts.plot(seconds, [getattr(row, name) for row in rows], label=name)
    for name in ("median", "worst"):
        times.plot(seconds, [getattr(row, name) for row in rows], label=name)
    counts.set_ylabel("requests a second")
    times.set_ylabel("milliseconds")
    times.set_xlabel("seconds")
    counts.legend()
    times.legend()
    image = io.BytesIO()
    figure.savefig(image, format="png")
    data = base64.b64encode(image.getvalue()).decode()
    return (
        f'<img alt="requests and times by second" src="data:image/png;base64,{data}">'
    )


def write_page(path, title, summary, rows):
    """Write the report as a page."""
    page = PAGE.format(
        title=html.escape(title),
        summary=html.escape(summary),
        plots=draw_plots(rows),
        table=html.escape(format_table(summary, rows)),
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)
