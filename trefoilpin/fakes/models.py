"""Model of an upstream: slots, latency, faults and reduced capacity while cold."""

__all__ = ["ModelUpstream", "concurrency_limit"]


class ModelUpstream:
    """Simulated upstream, with its faults and statistics of its load.

    ``fault`` is None or a function that takes a random number generator and returns
    None or one of ``error``, ``reset``, ``stall`` and ``unreachable``.
    ``latency_factor`` multiplies the latency.
    """

    def __init__(self, upstream, median, sigma):
        self.upstream = upstream
        self.median = median
        self.sigma = sigma
        self.fault = None
        self.latency_factor = 1.0
        self.draining = False
        self.cold_since = None
        self.cold_seconds = 0.0
        self.in_flight = 0
        self.peak = 0
        self.peak_cold_excess = 0
        self.starts: list[float] = []
        self.sheds = 0


def concurrency_limit(model, now):
    """Return how many concurrent requests an upstream can handle now."""
    slots = model.upstream.slots
    if model.cold_since is None or not model.cold_seconds:
        return slots
    share = (now - model.cold_since) / model.cold_seconds
    return min(slots, max(1.0, slots * share))
