"""Token bucket as pure functions of its level and the time of its last refill.

Source: Turner, "New directions in communications", IEEE Communications Magazine
24(10), 1986.
"""

__all__ = ["Bucket", "refill", "seconds_until"]


class Bucket:
    """State of a token bucket.

    Attributes
    ----------
    level : float
        Tokens.
    refilled_at : float
        Clock time in seconds up to which the bucket has been refilled.
    """

    __slots__ = ("level", "refilled_at")

    def __init__(self, level, refilled_at):
        self.level = level
        self.refilled_at = refilled_at


def refill(bucket, rate, capacity, now):
    """Add the tokens accrued since the last refill, up to the capacity.

    Parameters
    ----------
    bucket : Bucket
    rate : float
        Tokens per second.
    capacity : float
        Tokens; a capacity below zero leaves the bucket empty.
    now : float
        Seconds.
    """
    level = bucket.level
    if now > bucket.refilled_at:
        level += (now - bucket.refilled_at) * rate
        bucket.refilled_at = now
    bucket.level = max(0.0, min(capacity, level))


def seconds_until(bucket, rate, tokens):
    """Return the seconds until a bucket that is up to date has so many tokens."""
    missing_tokens = tokens - bucket.level
    if missing_tokens <= 0:
        return 0.0
    return missing_tokens / rate if rate > 0 else float("inf")
