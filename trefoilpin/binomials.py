"""Binomial test of whether an upstream does worse than its pool.

The number of bad attempts is compared, by the upper tail of the binomial distribution,
with the share that the same client accounts see at the other upstreams. An account that
is slow or fails at every upstream therefore raises its own expected share.
"""

import math
from typing import NamedTuple

__all__ = ["Tally", "binomial_lower_tail", "binomial_upper_tail", "expected_share"]

MIN_EXPECTED_SHARE = 0.02
TOLERANCE_FACTOR = 2.0
MAX_EXPECTED_SHARE = 0.9
PRIOR_REQUESTS = 2.0
MIN_ACCOUNT_REQUESTS = 10


class Tally(NamedTuple):
    """Number of attempts, and of bad ones among them."""

    requests: int
    bad: int


EMPTY_TALLY = Tally(0, 0)


def binomial_upper_tail(successes, trials, share):
    """Return the probability of at least this many successes.

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


def binomial_lower_tail(successes, trials, share):
    """Return the probability of at most this many successes."""
    return binomial_upper_tail(trials - successes, trials, 1 - share)


def expected_share(own_by_account, pool_by_account, long_term_by_account):
    """Return the share of bad attempts expected at an upstream.

    Parameters
    ----------
    own_by_account : dict
        ``Tally`` by account at this upstream.
    pool_by_account : dict
        ``Tally`` by account over the whole pool, including this upstream.
    long_term_by_account : dict
        Decayed long-term ``Tally`` by account, for accounts with few attempts.

    Returns
    -------
    float
        Mean of the accounts' shares at the other upstreams, weighted by their attempts
        here, multiplied by a tolerance and kept within bounds.
    """
    long_term_by_account = {
        account: subtract(tally, own_by_account.get(account, EMPTY_TALLY))
        for account, tally in long_term_by_account.items()
    }
    overall, growth = overall_share(
        own_by_account, pool_by_account, long_term_by_account
    )
    expected = 0.0
    total = 0
    for account, own in own_by_account.items():
        tally = pool_by_account[account]
        long_term = long_term_by_account.get(account, EMPTY_TALLY)
        requests = tally.requests - own.requests
        shares = []
        if requests >= MIN_ACCOUNT_REQUESTS:
            shares.append((tally.bad - own.bad) / requests)
        if long_term.requests >= MIN_ACCOUNT_REQUESTS:
            shares.append(growth * long_term.bad / long_term.requests)
        expected += own.requests * min(max(shares, default=overall), 1.0)
        total += own.requests
    share = TOLERANCE_FACTOR * expected / max(total, 1)
    return min(max(share, MIN_EXPECTED_SHARE), MAX_EXPECTED_SHARE)


def subtract(tally, own):
    """Return a tally without the attempts at one upstream."""
    return Tally(max(tally.requests - own.requests, 0), max(tally.bad - own.bad, 0))


def overall_share(own_by_account, pool_by_account, long_term_by_account):
    """Return the share over all accounts, and its growth over the long-term share."""
    requests = bad = 0
    for account, tally in pool_by_account.items():
        own = own_by_account.get(account, EMPTY_TALLY)
        requests += tally.requests - own.requests
        bad += tally.bad - own.bad
    long_term = sum(tally.requests for tally in long_term_by_account.values())
    long_term_bad = sum(tally.bad for tally in long_term_by_account.values())
    share = bad / (requests + PRIOR_REQUESTS)
    long_term_share = max(
        long_term_bad / (long_term + PRIOR_REQUESTS),
        MIN_EXPECTED_SHARE / TOLERANCE_FACTOR,
    )
    return max(share, long_term_share), max(share / long_term_share, 1.0)
