"""Counters, gauges and HDR histograms, rendered as text for scraping.

Latencies are recorded in microseconds, up to one minute, with three significant
digits.
"""

from typing import Callable, NamedTuple

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "create"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
REPORTED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class MetricState:
    """Metrics since the start of the daemon."""

    def __init__(self):
        self.count_by_name: dict[str, float] = {}
        self.gauge_by_name: dict[str, Callable[[], float]] = {}
        self.histogram_by_name: dict[str, HdrHistogram] = {}


class Metrics(NamedTuple):
    """``metrics``: metrics of this host.

    ``count(name, by=1)`` increments a counter, ``time(name, seconds)`` records a
    latency, ``gauge(name, function)`` registers a function that is called for the
    value at each scrape, and ``render()`` returns all metrics as text.
    """

    count: Callable[..., None]
    time: Callable[[str, float], None]
    gauge: Callable[[str, Callable[[], float]], None]
    render: Callable[[], str]


def create_histogram():
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


def render_histogram(name, histogram):
    """Return the lines of one histogram, in seconds."""
    lines = []
    for percentile in REPORTED_PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        quantile = percentile / 100
        seconds = value / MICROSECONDS_PER_SECOND
        lines.append(f'{name}{{quantile="{quantile:g}"}} {seconds:.6f}')
    lines.append(f"{name}_count {histogram.get_total_count()}")
    return lines


def create(kernel):
    """Create the service ``metrics``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Metrics
    """
    state = MetricState()

    def count(name, by=1):
        state.count_by_name[name] = state.count_by_name.get(name, 0) + by

    def time(name, seconds):
        histogram = state.histogram_by_name.get(name)
        if histogram is None:
            histogram = state.histogram_by_name[name] = create_histogram()
        value = int(seconds * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(max(value, 1), HIGHEST_MICROSECONDS))

    def gauge(name, function):
        state.gauge_by_name[name] = function

    def render():
        lines = []
        for name, value in sorted(state.count_by_name.items()):
            lines.append(f"{name} {value}")
        for name, function in sorted(state.gauge_by_name.items()):
            lines.append(f"{name} {function()}")
        for name, histogram in sorted(state.histogram_by_name.items()):
            lines.extend(render_histogram(name, histogram))
        return "\n".join(lines) + "\n"

    service = Metrics(count, time, gauge, render)
    kernel.register("metrics", service)
    return service
