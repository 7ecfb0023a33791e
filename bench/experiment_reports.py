"""Results of an experiment by second, as a table and as a page with plots."""

import base64
import html
import io
import sys
from typing import NamedTuple

__all__ = ["Row", "format_table", "summarize", "write_page"]

ROW_SECONDS = 1.0
MILLISECONDS = 1000
PAGE_TEMPLATE = """<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>{title}</title></head>
<body><h1>{title}</h1><p>{summary}</p>{plots}<pre>{table}</pre></body></html>
"""


class Row(NamedTuple):
    """One second of an experiment.

    Attributes
    ----------
    served, refused, failed : int
        Requests answered with status 200, refused with the statement that they did not
        run, and all others.
    median, worst : float
        Median and 99th percentile of the latency of served requests, in milliseconds.
    """

    second: int
    served: int
    refused: int
    failed: int
    median: float
    worst: float


def percentile(values, quantile):
    """Return a quantile of sorted values; 0 if there are none."""
    if not values:
        return 0.0
    return values[min(int(len(values) * quantile), len(values) - 1)]


def summarize(records, began_at):
    """Return a ``Row`` for each second in which requests were sent."""
    records_by_second = {}
    for record in records:
        second = int((record.sent_at - began_at) / ROW_SECONDS)
        records_by_second.setdefault(second, []).append(record)
    rows = []
    for second, second_records in sorted(records_by_second.items()):
        served = [record for record in second_records if record.status == 200]
        refused = sum(record.is_not_run for record in second_records)
        latencies = sorted(
            (record.finished_at - record.sent_at) * MILLISECONDS for record in served
        )
        failed = len(second_records) - len(served) - refused
        row = Row(
            second,
            len(served),
            refused,
            failed,
            round(percentile(latencies, 0.5), 1),
            round(percentile(latencies, 0.99), 1),
        )
        rows.append(row)
    return rows


def format_table(summary, rows):
    """Return rows as a text table, preceded by the summary."""
    table_lines = [summary, " ".join(f"{name:>8}" for name in Row._fields)]
    for row in rows:
        table_lines.append(" ".join(f"{value:>8}" for value in row))
    return "\n".join(table_lines)


def draw_plots(rows):
    """Return HTML with the plots as an embedded PNG; without matplotlib, a note."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        print(
            "matplotlib is not installed; the report has no plots (extra `plots`)",
            file=sys.stderr,
        )
        return "<p>Plots need the extra <code>plots</code>.</p>"
    figure = Figure(figsize=(9, 6))
    count_plot, latency_plot = figure.subplots(2, 1, sharex=True)
    seconds = [row.second for row in rows]
    for name in ("served", "refused", "failed"):
        count_plot.plot(seconds, [getattr(row, name) for row in rows], label=name)
    for name in ("median", "worst"):
        latency_plot.plot(seconds, [getattr(row, name) for row in rows], label=name)
    count_plot.set_ylabel("requests a second")
    latency_plot.set_ylabel("milliseconds")
    latency_plot.set_xlabel("seconds")
    count_plot.legend()
    latency_plot.legend()
    image = io.BytesIO()
    figure.savefig(image, format="png")
    png = base64.b64encode(image.getvalue()).decode()
    return f'<img alt="requests and times by second" src="data:image/png;base64,{png}">'


def write_page(path, title, summary, rows):
    """Write the report as an HTML page."""
    page = PAGE_TEMPLATE.format(
        title=html.escape(title),
        summary=html.escape(summary),
        plots=draw_plots(rows),
        table=html.escape(format_table(summary, rows)),
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)
