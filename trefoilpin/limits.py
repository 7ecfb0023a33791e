"""Client accounts' rates: a token bucket for each account on this host."""

from returns.result import Failure, Success

from trefoilpin.services import Limits
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]


class Bucket:
    """Tokens of one account; refilled at the moment of use."""

    def __init__(self, tokens, filled_at):
        self.tokens = tokens
        self.filled_at = filled_at


def take(bucket, rate, burst, now):
    """Take one token; return the seconds until there is one, 0 when it was taken."""
    elapsed = now - bucket.filled_at
    bucket.tokens = min(burst, bucket.tokens + elapsed * rate)
    bucket.filled_at = now
    if bucket.tokens < 1:
        return (1 - bucket.tokens) / rate
    bucket.tokens -= 1
    return 0.0


def create(kernel):
    """Create the service ``limits``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Limits
    """
    bucket_by_account: dict[str, Bucket] = {}
    now = kernel.clock.now

    def admit(account, deadline):
        bucket = bucket_by_account.get(account.id)
        if bucket is None:
            bucket = bucket_by_account[account.id] = Bucket(account.burst, now())
        wait = take(bucket, account.rate, account.burst, now())
        if wait:
            detail = "the account is over its rate"
            return Failure(Refusal(Reason.RATE_EXCEEDED, Verdict.NOT_RUN, detail, wait))
        return Success(None)

    service = Limits(admit)
    kernel.register("limits", service)
    return service
