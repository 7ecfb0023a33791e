"""Refusals of requests for which a pool has no upstream now."""

from returns.result import Failure

from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["HELD_BACK", "NO_UPSTREAM", "SATURATED", "refuse_paused"]

RETRY_AFTER_SECONDS = 0.2
# Callers of a pool that pauses return over this multiple of its pause.
PAUSE_SPREAD = 0.5
# A lease that its holder did not release is taken over after about this time.
HELD_BACK_SECONDS = 2.0

SATURATED = Failure(
    Refusal(
        Reason.OVERLOADED,
        Verdict.NOT_RUN,
        "every upstream of the pool is at its limit",
        RETRY_AFTER_SECONDS,
    )
)
NO_UPSTREAM = Failure(
    Refusal(
        Reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        "no upstream of the pool can be used",
        RETRY_AFTER_SECONDS,
    )
)
HELD_BACK = Failure(
    Refusal(
        Reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        "every upstream of the pool may be cold, and no host grants requests to it",
        HELD_BACK_SECONDS,
    )
)


def refuse_paused(seconds, rng):
    """Refuse a request whose whole pool asked for a pause; spread the returns.

    Parameters
    ----------
    seconds : float
        Time until the first pause ends.
    rng : random.Random
    """
    retry_after = seconds * (1.0 + PAUSE_SPREAD * rng.random())
    detail = "every upstream of the pool asked for a pause"
    return Failure(Refusal(Reason.NO_UPSTREAM, Verdict.NOT_RUN, detail, retry_after))
