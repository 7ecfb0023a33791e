"""Outcomes of this host to share with others, and which of others' were merged."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.balancing.failure_models import Outcome, UpstreamOutcome

__all__ = ["OutcomeLog", "create"]

# An outcome is sent repeatedly for this time, as datagrams may be lost.
SAME_ZONE_OUTCOME_SECONDS = 0.3
OTHER_ZONE_OUTCOME_SECONDS = 1.0
MAX_RECENT_OUTCOMES = 60


class OutcomeLog(NamedTuple):
    """Numbered outcomes.

    ``add(upstream, outcome)`` adds one of this host, ``recent(is_same_zone)`` returns
    those to share. ``take_new(host, incarnation, outcomes)`` returns the outcomes of
    another host that were not taken before.
    """

    add: Callable[[str, Outcome], None]
    recent: Callable[[bool], tuple[UpstreamOutcome, ...]]
    take_new: Callable[[str, int, tuple], list]


class OutcomeLogState:
    """Recent outcomes of this host, and the last number taken of each other host."""

    def __init__(self):
        self.number = 0
        self.recent: list[tuple[float, UpstreamOutcome]] = []
        self.last_number_by_host: dict[str, tuple[int, int]] = {}


def create(now):
    """Create the functions of the log.

    Parameters
    ----------
    now : callable
        Seconds of the kernel's clock.

    Returns
    -------
    OutcomeLog
    """
    state = OutcomeLogState()

    def add(upstream, outcome):
        state.number += 1
        shared = UpstreamOutcome(state.number, upstream, outcome)
        state.recent.append((now(), shared))
        del state.recent[:-MAX_RECENT_OUTCOMES]

    def recent(is_same_zone):
        """Return the outcomes to share; other zones do not get the good ones."""
        seconds = (
            SAME_ZONE_OUTCOME_SECONDS if is_same_zone else OTHER_ZONE_OUTCOME_SECONDS
        )
        outcomes = []
        for recorded_at, shared in state.recent:
            if now() - recorded_at > seconds:
                continue
            if is_same_zone or shared.outcome is not Outcome.GOOD:
                outcomes.append(shared)
        return tuple(outcomes)

    def take_new(host, incarnation, outcomes):
        known = state.last_number_by_host.get(host, (incarnation, 0))
        if not outcomes or incarnation < known[0]:
            return []
        last = known[1] if incarnation == known[0] else 0
        new = []
        for shared in outcomes:
            if shared.number <= last:
                continue
            last = shared.number
            new.append(shared)
        state.last_number_by_host[host] = (incarnation, last)
        return new

    return OutcomeLog(add, recent, take_new)
