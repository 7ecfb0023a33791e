"""Even load from counts that are old and known to many hosts at the same time.

Of upstreams whose expected losses by failures differ little, each host prefers some,
and other hosts prefer others. So hosts that see the same counts don't all choose the
same upstream, and more of an upstream's load is from a host that counts it at once.
``docs/design/even-load.md`` has the figures of this and of other choices.
"""

from trefoilpin.gateway.balancing.upstream_selection import (
    FULL_LOSS,
    failure_loss,
    fixed_loss,
)

__all__ = [
    "busiest_to_mean",
    "choose_even",
    "expected_load",
    "preference_range",
]

# A failed request costs callers more than uneven load: only upstreams whose losses by
# failures differ by less than this are chosen between.
MAX_EXTRA_LOSS = 0.02
# Range of a host's lasting preferences, in load. With a smaller one hosts still choose
# the same upstreams, with a larger one they leave slots idle while others queue.
PREFERENCE_RANGE = 1.0
# Numbers of senders up to which there are no preferences, and from which on they have
# their full range. Each of two hosts counts half of the load at once, and with
# preferences leaves more slots idle.
NO_RANGE_SENDERS = 2
FULL_RANGE_SENDERS = 6
# Range of a random term, in load, as preferences of hosts may coincide.
RANDOM_RANGE = 0.15


def expected_load(health, now, typical_seconds):
    """Return an upstream's expected load with one more request, relative to its slots.

    Of the requests that other hosts reported, the part that ended since is left out.
    The requests that they sent since are unknown and left out at all upstreams.

    Parameters
    ----------
    health : UpstreamHealth
    now : float
    typical_seconds : float
        Typical duration of a request; 0 when unknown.
    """
    others = health.other_in_flight
    if others and typical_seconds > 0:
        age = now - health.other_reported_sum / others
        ended = age / (typical_seconds * max(health.slowness, 0.5))
        others *= 1.0 - min(max(ended, 0.0), 1.0)
    return (health.own_in_flight + others + 1) / (health.upstream.slots or 1)


def preference_range(sender_count):
    """Return the range of a host's preferences, in load; 0 with up to two senders."""
    part = (sender_count - NO_RANGE_SENDERS) / (FULL_RANGE_SENDERS - NO_RANGE_SENDERS)
    return PREFERENCE_RANGE * min(max(part, 0.0), 1.0)


def choose_even(candidates, best, retry_policy, rng):
    """Return the candidate to use of those that are about as good as the best one.

    Parameters
    ----------
    candidates : sequence of Candidate
    best : Candidate
        The one of them with the least expected loss; it is used if it has no
        preference, which means that few hosts send requests.
    retry_policy : RetryPolicy
    rng : random.Random

    Returns
    -------
    Candidate
    """
    if not best.preference:
        return best
    max_loss = failure_loss(best, retry_policy) + MAX_EXTRA_LOSS
    chosen = best
    least_cost = float("inf")
    for candidate in candidates:
        if candidate.is_same_zone != best.is_same_zone:
            continue
        if failure_loss(candidate, retry_policy) > max_loss:
            continue
        cost = candidate.expected_load + candidate.preference
        cost += fixed_loss(candidate, retry_policy) / FULL_LOSS
        cost += rng.random() * RANDOM_RANGE
        if cost < least_cost:
            chosen, least_cost = candidate, cost
    return chosen


def busiest_to_mean(health_by_pool):
    """Return the known load of the busiest upstream relative to its pool's mean.

    The largest of all pools with as many requests in flight as upstreams, 1.0 without
    any: a few requests are never even.

    Parameters
    ----------
    health_by_pool : dict
        By pool, dicts of ``UpstreamHealth`` by upstream.
    """
    worst = 1.0
    for health_by_id in health_by_pool.values():
        loads, requests, slots = [], 0, 0
        for health in health_by_id.values():
            in_flight = health.own_in_flight + health.other_in_flight
            requests += in_flight
            slots += max(health.upstream.slots, 1)
            loads.append(in_flight / max(health.upstream.slots, 1))
        if requests and requests >= len(loads):
            worst = max(worst, max(loads) * slots / requests)
    return round(worst, 3)
