"""Token bucket as pure arithmetic: a level, and the instant it was refilled.

Source: Turner, "New directions in communications", IEEE Communications Magazine
24(10), 1986.
"""

__all__ = ["Bucket", "refill", "seconds_until"]


class Bucket:
    """Level of a bucket and the instant up to which it is refilled.

    Attributes
    ----------
    level : float
        Tokens.
    filled_at : float
        Seconds of the kernel's clock.
    """

    __slots__ = ("level", "filled_at")

    def __init__(self, level, filled_at):
        self.level = level
        self.filled_at = filled_at


def refill(bucket, rate, capacity, now):
    """Add what accrued since the last refill, up to the capacity.

    Parameters
    ----------
    bucket : Bucket
    rate : float
        Tokens a second.
    capacity : float
        Tokens; a capacity below zero leaves the bucket empty.
    now : float
        Seconds.
    """
    level = bucket.level
    if now > bucket.filled_at:
        level += (now - bucket.filled_at) * rate
        bucket.filled_at = now
    bucket.level = max(0.0, min(capacity, level))


def seconds_until(bucket, rate, tokens):
    """Return the seconds until a bucket refilled just now has so many tokens."""
    missing = tokens - bucket.level
    if missing <= 0:
        return 0.0
    return missing / rate if rate > 0 else float("inf")
