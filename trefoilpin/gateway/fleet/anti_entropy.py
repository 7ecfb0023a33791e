"""Pull-based anti-entropy: fetches from other hosts what the relays no longer send.

A host whose relays died, or that is cut off from them, would otherwise learn of a
change only when it reads the store itself or when new relays have been elected.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.store.document_cache import (
    CONFIGURATION,
    ROLLOUTS,
    UPSTREAMS,
    ZONES_OUT,
)

__all__ = ["AntiEntropy", "create"]

STEP_INTERVAL_SECONDS = 0.1
# A host with recent updates fetches nothing. A relay sends to its zone every 0.4 s with
# jitter; one of its messages may be lost.
MAX_SILENCE_SECONDS = 0.6
# Age in seconds by which an update of a live reader has most likely arrived.
MAX_AGE_BY_KIND = {CONFIGURATION: 0.9, UPSTREAMS: 0.9, ZONES_OUT: 2.0, ROLLOUTS: 0.9}
# Pause between two fetches; it doubles while they bring nothing newer.
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 3.2


class AntiEntropy(NamedTuple):
    """``anti_entropy``: ``step()`` fetches each document that is too old."""

    step: Callable[[], None]


class AntiEntropyState:
    """Backoff and time of the next fetch for each kind."""

    def __init__(self):
        self.pause_by_kind = dict.fromkeys(MAX_AGE_BY_KIND, MIN_PAUSE_SECONDS)
        self.next_fetch_at_by_kind = dict.fromkeys(MAX_AGE_BY_KIND, float("-inf"))


def create(kernel):
    """Create the service ``anti_entropy``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    AntiEntropy
    """
    state = AntiEntropyState()
    now = kernel.clock.now
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    gossip = kernel.find("gossip")
    document_fetchers = kernel.find("document_fetchers")

    def step():
        if now() - gossip.last_update_at() < MAX_SILENCE_SECONDS:
            return
        for kind in document_cache.kinds:
            max_age = MAX_AGE_BY_KIND[kind]
            is_read = document_cache.version(kind).revision
            if is_read and document_cache.age(kind) > max_age:
                start_fetch(kind)

    def start_fetch(kind):
        """Start a fetch from one of the first store readers, unless it is too early."""
        addresses = gossip.first_readers()
        if now() < state.next_fetch_at_by_kind[kind] or not addresses:
            return
        state.next_fetch_at_by_kind[kind] = now() + state.pause_by_kind[kind]
        metrics.count("documents_asked_for")
        kernel.spawn(fetch_from, kernel.rng.choice(addresses), kind)

    def fetch_from(address, kind):
        age_before = document_cache.age(kind)
        document_fetchers.fetch(address, kind)
        if document_cache.age(kind) < age_before:
            state.pause_by_kind[kind] = MIN_PAUSE_SECONDS
            return
        doubled = state.pause_by_kind[kind] * 2
        state.pause_by_kind[kind] = min(doubled, MAX_PAUSE_SECONDS)

    def step_pause():
        """Return the time until this host could have been silent for too long."""
        silence = now() - gossip.last_update_at()
        return max(MAX_SILENCE_SECONDS - silence, STEP_INTERVAL_SECONDS)

    service = AntiEntropy(step)
    kernel.register(
        "anti_entropy",
        service,
        lambda: kernel.spawn(repeat, kernel.clock.sleep, step_pause, step),
    )
    return service
