"""Pull-based anti-entropy: fetches from other hosts what the relays no longer send.

A host whose relays died, or that is cut off from them, would otherwise learn of a
change only when it reads the store itself or when new relays have been elected.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS, ZONES_OUT
from trefoilpin.gateway.loops import repeat

__all__ = ["AntiEntropy", "create"]

STEP_SECONDS = 0.1
# A relay sends to its zone every 0.4 s, with jitter; one of its messages may be lost.
QUIET_SECONDS = 0.6
# Of an age at which a reader that lives has most likely been heard of.
AGE_BY_KIND = {CONFIGURATION: 0.9, UPSTREAMS: 0.9, ZONES_OUT: 2.0}
# Between two asks; it doubles while they bring nothing.
LEAST_PAUSE_SECONDS = 0.2
MOST_PAUSE_SECONDS = 3.2


class AntiEntropy(NamedTuple):
    """``anti_entropy``: ``step()`` fetches each document that is too old."""

    step: Callable[[], None]


class AntiEntropyState:
    """Backoff and time of the next request for each kind."""

    def __init__(self):
        self.pause_by_kind = dict.fromkeys(AGE_BY_KIND, LEAST_PAUSE_SECONDS)
        self.next_by_kind = dict.fromkeys(AGE_BY_KIND, float("-inf"))


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
        if now() - gossip.last_update_at() < QUIET_SECONDS:
            return
        for kind, most_age in AGE_BY_KIND.items():
            is_known = document_cache.version(kind).revision
            if is_known and document_cache.age(kind) > most_age:
                ask(kind)

    def ask(kind):
        """Ask one of the hosts that read the store first."""
        others = gossip.first_readers()
        if now() < state.next_by_kind[kind] or not others:
            return
        state.next_by_kind[kind] = now() + state.pause_by_kind[kind]
        metrics.count("documents_asked_for")
        kernel.spawn(pull, kernel.rng.choice(others), kind)

    def pull(address, kind):
        age_before = document_cache.age(kind)
        document_fetchers.fetch(address, kind)
        if document_cache.age(kind) < age_before:
            state.pause_by_kind[kind] = LEAST_PAUSE_SECONDS
            return
        doubled = state.pause_by_kind[kind] * 2
        state.pause_by_kind[kind] = min(doubled, MOST_PAUSE_SECONDS)

    service = AntiEntropy(step)
    kernel.register(
        "anti_entropy",
        service,
        lambda: kernel.spawn(repeat, kernel.clock.sleep, lambda: STEP_SECONDS, step),
    )
    return service
