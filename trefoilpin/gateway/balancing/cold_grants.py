"""Tokens for requests to cold upstreams, granted to the whole fleet by one host.

The holder of a lease has a token bucket for each cold upstream. It grants tokens to
hosts that ask; each is for one request, which has to be written within
``TOKEN_SECONDS`` after the moment before the host sent its ask, by that host's clock.

So the requests written in a second were granted in a span that is longer by
``TOKEN_SECONDS`` at most: they are ``rate * (1 + TOKEN_SECONDS) + capacity`` at most,
for any number of hosts. A bucket is empty at the start of a lease, which begins after
the end of the one before, so that this holds across a change of the holder.
"""

from collections import deque
from typing import Callable, NamedTuple

from trefoilpin.gateway.store import lease_asks
from trefoilpin.gateway.store.document_cache import CONFIGURATION

__all__ = [
    "ASK_PERIOD_SECONDS",
    "DEFAULT_BOUNDS",
    "MAX_CAPACITY",
    "MAX_WANTS",
    "TOKEN_SECONDS",
    "ColdAsk",
    "ColdBounds",
    "ColdGrant",
    "ColdGrants",
    "GrantedTokens",
    "Want",
    "create",
]

# Longer, fewer tokens go unused; shorter, more of the rate can be granted.
TOKEN_SECONDS = 0.5
MAX_CAPACITY = 2.0
# Tokens for one upstream that a host asks for at once.
MAX_TOKENS_ASKED = 2
# Period in which a host asks at most once.
ASK_PERIOD_SECONDS = 0.1
MAX_WANTS = 64
# Buckets beyond this number of upstreams are dropped when they are full again.
MAX_BUCKETS = 256


class ColdBounds(NamedTuple):
    """Bound on the requests that a cold upstream gets in any second.

    Attributes
    ----------
    overshoot : float
        Factor on its rate.
    slack : float
        Requests beyond it.
    """

    overshoot: float = 1.5
    slack: float = 5.0


DEFAULT_BOUNDS = ColdBounds()


class Want(NamedTuple):
    """Tokens that a host wants for an upstream, named by its id, birth and pool."""

    upstream: str
    born: int
    pool: str
    tokens: int


class ColdAsk(NamedTuple):
    """A host's ask for tokens."""

    number: int
    wants: tuple[Want, ...]


class GrantedTokens(NamedTuple):
    """Tokens that a host was granted for an upstream."""

    upstream: str
    born: int
    tokens: int


class ColdGrant(NamedTuple):
    """The response to an ask.

    Attributes
    ----------
    number : int
        Of the ask.
    is_holder : bool
        True when the host that responds may grant tokens.
    holder : str
        Address of the host that may, as far as known; empty otherwise.
    granted : tuple of GrantedTokens
    """

    number: int
    is_holder: bool
    holder: str
    granted: tuple[GrantedTokens, ...]


class ColdGrants(NamedTuple):
    """``cold_grants``: tokens for cold upstreams at this host.

    ``has_token(upstream)`` tells whether a request may be sent to a cold upstream, and
    ``take(upstream)`` takes the token and returns the clock time by which the request
    has to be written. ``want(upstreams)`` asks for tokens that a request lacked:
    ``on_ask(function)`` has ``function(ask)`` called with the ``ColdAsk``, and
    ``receive(grant)`` takes the response; ``on_granted(function)`` has ``function()``
    called when it brought tokens. ``answer(ask, time, held_since)`` returns the granted
    tokens of a host's ask that had arrived by that time of the clock, at which this
    host held the lease, without another holder since ``held_since``.
    ``is_holder_away()`` tells whether the asks of some time found no host that may
    grant.
    """

    has_token: Callable
    take: Callable
    want: Callable
    on_ask: Callable
    receive: Callable
    on_granted: Callable
    answer: Callable
    is_holder_away: Callable[[], bool]


class Bucket:
    """Token bucket of an upstream at the holder of the lease."""

    def __init__(self, filled_at):
        self.tokens = 0.0
        self.filled_at = filled_at
        self.rate = 0.0


class GrantState:
    """Tokens and asks of this host, and its buckets as the holder.

    Attributes
    ----------
    expiries_by_key : dict
        By id and birth: when each token of an upstream expires, in order.
    """

    def __init__(self):
        self.expiries_by_key: dict[tuple[str, int], deque[float]] = {}
        self.want_by_key: dict[tuple[str, int], Want] = {}
        self.bucket_by_id: dict[str, Bucket] = {}
        self.grant_listeners = []


def fill(bucket, time, capacity, held_since):
    """Fill a bucket up to a time; it was empty when the lease began."""
    if bucket.filled_at < held_since:
        bucket.filled_at, bucket.tokens = held_since, 0.0
    filled = bucket.tokens + max(time - bucket.filled_at, 0.0) * bucket.rate
    bucket.tokens, bucket.filled_at = min(filled, capacity), time


def create(kernel, bounds=DEFAULT_BOUNDS):
    """Create the service ``cold_grants``.

    Parameters
    ----------
    kernel : Kernel
    bounds : ColdBounds, optional

    Returns
    -------
    ColdGrants
    """
    state = GrantState()
    now = kernel.clock.now
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    capacity = min(MAX_CAPACITY, bounds.slack)
    rate_share = min(1.0, bounds.overshoot / (1.0 + TOKEN_SECONDS))

    def usable(upstream):
        """Return the times at which an upstream's tokens expire."""
        key = (upstream.id, upstream.born)
        expiries = state.expiries_by_key.get(key)
        if expiries is None:
            return ()
        while expiries and expiries[0] <= now():
            expiries.popleft()
            metrics.count("cold_tokens_expired")
        if not expiries:
            del state.expiries_by_key[key]
        return expiries

    def has_token(upstream):
        return bool(usable(upstream))

    def take(upstream):
        expiries = usable(upstream)
        if not expiries:
            return now()
        metrics.count("cold_tokens_used")
        return expiries.popleft()

    def want(upstreams):
        for upstream in upstreams:
            key = (upstream.id, upstream.born)
            known = state.want_by_key.get(key)
            tokens = 1 if known is None else known.tokens + 1
            state.want_by_key[key] = Want(
                *key, upstream.pool, min(tokens, MAX_TOKENS_ASKED)
            )
        if state.want_by_key:
            asks.schedule()

    def take_wants():
        wants = tuple(state.want_by_key.values())[:MAX_WANTS]
        state.want_by_key.clear()
        return wants

    def on_ask(function):
        asks.on_ask(lambda number, wants: function(ColdAsk(number, wants)))

    def receive(grant):
        sent = asks.receive(grant.number, grant.is_holder)
        if sent is None:
            return
        tokens_by_key = {(item.upstream, item.born): item.tokens for item in sent.wants}
        has_tokens = False
        for item in grant.granted:
            key = (item.upstream, item.born)
            tokens = min(item.tokens, tokens_by_key.pop(key, 0))
            expiries = state.expiries_by_key.setdefault(key, deque())
            expiries.extend([sent.sent_at + TOKEN_SECONDS] * tokens)
            metrics.count("cold_tokens_received", tokens)
            has_tokens = has_tokens or tokens > 0
        if has_tokens:
            for function in state.grant_listeners:
                function()

    def answer(ask, time, held_since):
        granted = []
        for item in ask.wants[:MAX_WANTS]:
            tokens = grant(item, time, held_since)
            if tokens:
                granted.append(GrantedTokens(item.upstream, item.born, tokens))
        if len(state.bucket_by_id) > MAX_BUCKETS:
            drop_full_buckets(time, held_since)
        return tuple(granted)

    def grant(item, time, held_since):
        """Take the tokens for a want out of its bucket; return how many it got."""
        pool = document_cache.value(CONFIGURATION).pool_by_id.get(item.pool)
        if pool is None:
            return 0
        # Hosts may still know an earlier start of the upstream, at the same address.
        bucket = state.bucket_by_id.setdefault(item.upstream, Bucket(held_since))
        bucket.rate = pool.cold_rate * rate_share
        fill(bucket, time, capacity, held_since)
        tokens = min(int(bucket.tokens), item.tokens, MAX_TOKENS_ASKED)
        bucket.tokens -= tokens
        metrics.count("cold_tokens_granted", tokens)
        return tokens

    def drop_full_buckets(time, held_since):
        """Drop buckets that a new one would equal."""
        for upstream_id, bucket in list(state.bucket_by_id.items()):
            fill(bucket, time, capacity, held_since)
            if bucket.tokens >= capacity:
                del state.bucket_by_id[upstream_id]

    asks = lease_asks.create(
        kernel, "cold", ASK_PERIOD_SECONDS, TOKEN_SECONDS, take_wants
    )
    service = ColdGrants(
        has_token,
        take,
        want,
        on_ask,
        receive,
        state.grant_listeners.append,
        answer,
        asks.is_holder_away,
    )
    kernel.register("cold_grants", service)
    return service
