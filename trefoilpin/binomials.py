"""Test whether one upstream does worse than its pool.

The share of bad attempts is compared with what the same client accounts see at the
other upstreams, by the upper tail of the binomial distribution. An account that is
slow or fails everywhere therefore raises its own expectation.
"""

import math
from typing import NamedTuple

__all__ = ["Tally", "binomial_at_most", "binomial_tail", "expected_share"]

LEAST_SHARE = 0.02
TOLERANCE = 2.0
MOST_SHARE = 0.9
PRIOR_REQUESTS = 2.0
LEAST_ACCOUNT_REQUESTS = 10


class Tally(NamedTuple):
    """Attempts and how many of them were bad."""

    requests: int
    bad: int


NOTHING = Tally(0, 0)


def binomial_tail(successes, trials, share):
    """Return the probability of at least so many successes.

    Parameters
    ----------
    successes, trials : int
    share : float
        Probability of a single success, between 0 and 1 exclusive.
    """
    if successes <= trials * share:
        return 1.0
    term = math.exp(
        math.lgamma(trials + 1)
        - math.lgamma(successes + 1)
        - math.lgamma(trials - successes + 1)
        + successes * math.log(share)
        + (trials - successes) * math.log1p(-share)
    )
    total = 0.0
    odds = share / (1 - share)
    for count in range(successes, trials + 1):
        total += term
        term *= (trials - count) / (count + 1) * odds
    return min(total, 1.0)


def binomial_at_most(successes, trials, share):
    """Return the probability of at most so many successes."""
    return binomial_tail(trials - successes, trials, 1 - share)


def expected_share(own_by_account, pool_by_account, lasting_by_account):
    """Return the share of bad attempts that the pool lets expect at an upstream.

    Parameters
    ----------
    own_by_account : dict
        ``Tally`` by account at this upstream.
    pool_by_account : dict
        The same over the whole pool, this upstream included.
    lasting_by_account : dict
        ``Tally`` by account over a longer time, for accounts with few attempts.

    Returns
    -------
    float
        For each account its share at the other upstreams, weighted by the account's
        attempts here, with a tolerance and a lower limit.
    """
    lasting_by_account = {
        account: without(tally, own_by_account.get(account, NOTHING))
        for account, tally in lasting_by_account.items()
    }
    overall, growth = overall_share(own_by_account, pool_by_account, lasting_by_account)
    expected = 0.0
    total = 0
    for account, own in own_by_account.items():
        tally = pool_by_account[account]
        lasting = lasting_by_account.get(account, NOTHING)
        requests = tally.requests - own.requests
        shares = []
        if requests >= LEAST_ACCOUNT_REQUESTS:
            shares.append((tally.bad - own.bad) / requests)
        if lasting.requests >= LEAST_ACCOUNT_REQUESTS:
            shares.append(growth * lasting.bad / lasting.requests)
        expected += own.requests * min(max(shares, default=overall), 1.0)
        total += own.requests
    share = TOLERANCE * expected / max(total, 1)
    return min(max(share, LEAST_SHARE), MOST_SHARE)


def without(tally, own):
    """Return a tally less the attempts at one upstream."""
    return Tally(max(tally.requests - own.requests, 0), max(tally.bad - own.bad, 0))


def overall_share(own_by_account, pool_by_account, lasting_by_account):
    """Return the share over all accounts, and its growth over the longer time."""
    requests = bad = 0
    for account, tally in pool_by_account.items():
        own = own_by_account.get(account, NOTHING)
        requests += tally.requests - own.requests
        bad += tally.bad - own.bad
    lasting = sum(tally.requests for tally in lasting_by_account.values())
    lasting_bad = sum(tally.bad for tally in lasting_by_account.values())
    share = bad / (requests + PRIOR_REQUESTS)
    before = max(lasting_bad / (lasting + PRIOR_REQUESTS), LEAST_SHARE / TOLERANCE)
    return max(share, before), max(share / before, 1.0)
