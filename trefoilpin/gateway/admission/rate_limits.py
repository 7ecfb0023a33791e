"""Rate limits of client accounts over the whole fleet, by shared counters.

An account may have ``rate * window + burst`` requests in any window of that many
seconds, and ``burst`` at once. Every host counts the requests that it admitted itself
and those that the others report as admitted, so each can use the whole rate without
coordination. Requests that several hosts admit before their counts arrive are charged
afterwards. A host that receives reports from only some of the serving hosts uses just
their share of the rate. In a network partition, the hosts of each side leave the share
of the missing ones unused for a while, so that both sides together stay within the
rate.

A rejection names the time at which there is room for the request, behind the callers
that were asked to return before. Their places are kept, so that a caller that returns
to this host when it was told is served although others ask for more than the rate.
"""

from collections import deque
from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway.admission.return_times import (
    Places,
    Room,
    round_up,
    seconds_until_room,
    will_return,
)
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["RateLimitSettings", "RateLimits", "create"]

# Granularity of the sliding window in which admitted requests are counted.
SUBWINDOW_SECONDS = 0.1
# A restarted daemon does not know what the fleet admitted before. It fills the token
# bucket of an account with this many seconds of the rate.
INITIAL_FILL_SECONDS = 0.1
# Counts of the requests that a host admitted before this host discovered it arrive
# within this time after the discovery.
BASELINE_TIMEOUT_SECONDS = 3.0
# After a start, the serving hosts discover each other and exchange counts. Until no
# further host has been discovered for DISCOVERY_QUIET_SECONDS, each host uses an equal
# part of every rate. As callers may have been sent to further hosts, the rate is
# divided among at least SETTLING_HOSTS_FACTOR times the planned hosts.
MIN_SETTLING_SECONDS = 0.5
DISCOVERY_QUIET_SECONDS = 0.4
MAX_SETTLING_SECONDS = 1.5
SETTLING_HOSTS_FACTOR = 2
MILLISECONDS_PER_SECOND = 1000
# Hosts whose last report is older are not assumed to admit requests.
MAX_REPORT_AGE_SECONDS = 1.0
# A refusal is logged with the places of its account once in this time.
LOG_INTERVAL_SECONDS = 1.0


class RateLimitSettings(NamedTuple):
    """Settings of the rate limits.

    Attributes
    ----------
    starts_full : bool
        True only when the whole system starts for the first time.
    planned_hosts : int
        Hosts among which a rate is divided until the fleet is known.
    window_seconds : float
        Window over which an account's requests are counted against its rate.
    incarnation : int
        Start of this daemon, Unix milliseconds.
    """

    starts_full: bool
    planned_hosts: int
    window_seconds: float
    incarnation: int


class RateLimits(NamedTuple):
    """``rate_limits``: fleet-wide rate limits of client accounts.

    ``admit(account, key, seconds_left)`` returns ``Success`` or the ``Refusal``, where
    ``key`` is the same when the request comes again, and the caller gives up after
    ``seconds_left``. ``refund(account)`` returns the token of a request that was not
    sent. ``merge_counts(host, incarnation,
    count_by_account)`` takes what another host admitted since its start, and
    ``admitted_counts()`` returns the counts of this host.
    """

    admit: Callable
    refund: Callable
    merge_counts: Callable[[str, int, dict], None]
    admitted_counts: Callable[[], dict]


class AccountUsage:
    """Token bucket and sliding-window count of one account over the whole fleet.

    Attributes
    ----------
    tokens : float or None
        Requests that are allowed at once; None before the account's first request at
        this host.
    filled_at : float
        Clock time in seconds of the last refill of the bucket.
    limit : float or None
        Requests allowed in a window when the counts were last scaled.
    subwindows : deque of [float, float, float]
        Start of a subwindow, requests counted in it, and those of this host.
    total, own_total : float
        Requests counted in all subwindows, and those of this host.
    places : Places
        Of the callers that were asked to return.
    """

    def __init__(self, now):
        self.tokens: float | None = None
        self.filled_at = now
        self.limit: float | None = None
        self.subwindows: deque[list[float]] = deque()
        self.total = 0.0
        self.own_total = 0.0
        self.places = Places()
        self.logged_at = float("-inf")

    def add(self, count, now, uses_tokens=True, own_count=0):
        """Count admitted requests; a negative count takes some back."""
        if uses_tokens and self.tokens is not None:
            self.tokens -= count
        self.total += count
        self.own_total += own_count
        if not self.subwindows or now - self.subwindows[-1][0] >= SUBWINDOW_SECONDS:
            self.subwindows.append([now, 0.0, 0.0])
        self.subwindows[-1][1] += count
        self.subwindows[-1][2] += own_count

    def expire(self, before):
        """Drop subwindows that began before a time."""
        while self.subwindows and self.subwindows[0][0] < before:
            _, count, own_count = self.subwindows.popleft()
            self.total -= count
            self.own_total -= own_count

    def scale(self, limit):
        """Scale the counts of a previous limit in proportion to a new one."""
        factor = limit / (self.limit or limit)
        self.limit = limit
        self.total *= factor
        self.own_total *= factor
        for subwindow in self.subwindows:
            subwindow[1] *= factor
            subwindow[2] *= factor

    def room(self, allowed, fill_rate, window, now):
        """Return the ``Room`` for further requests."""
        expiries = []
        for started_at, count, _ in self.subwindows:
            expiries.append((max(started_at + window - now, 0.0), count))
        window_room = allowed - self.total
        return Room(self.tokens, fill_rate, window_room, tuple(expiries))


class HostCounts:
    """Requests that one incarnation of another host admitted, by account.

    Until ``baseline_until`` the first count of an account is a baseline: it covers
    requests from before this host discovered the other one.
    """

    def __init__(self, incarnation, baseline_until):
        self.incarnation = incarnation
        self.baseline_until = baseline_until
        self.count_by_account: dict[str, int] = {}
        self.merged_at = float("-inf")


class RateLimitState:
    """Usage of each account, and requests that each host admitted."""

    def __init__(self, now):
        self.started_at = now
        self.serving_hosts = 0
        self.serving_hosts_changed_at = now
        self.usage_by_account: dict[str, AccountUsage] = {}
        self.admitted_by_account: dict[str, int] = {}
        self.counts_by_host: dict[str, HostCounts] = {}


def create(kernel, settings, mesh_coverage):
    """Create the service ``rate_limits``.

    Parameters
    ----------
    kernel : Kernel
    settings : RateLimitSettings
    mesh_coverage : callable
        Returns the number of serving hosts that reported recently, and of all serving
        hosts.

    Returns
    -------
    RateLimits
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    state = RateLimitState(now())
    window = settings.window_seconds

    def usable_share():
        """Return the share of every rate that this host may use."""
        reporting, serving = mesh_coverage()
        if serving != state.serving_hosts:
            state.serving_hosts, state.serving_hosts_changed_at = serving, now()
        if is_settling():
            return 1.0 / max(serving, settings.planned_hosts * SETTLING_HOSTS_FACTOR)
        if serving <= 1:
            return 1.0 / settings.planned_hosts if not settings.starts_full else 1.0
        if reporting * 2 <= serving:
            return 1.0 / max(serving, settings.planned_hosts)
        return reporting / serving

    def is_settling():
        uptime = now() - state.started_at
        if settings.starts_full or uptime >= MAX_SETTLING_SECONDS:
            return False
        is_quiet = now() - state.serving_hosts_changed_at >= DISCOVERY_QUIET_SECONDS
        return uptime < MIN_SETTLING_SECONDS or not is_quiet

    def started_within_window(incarnation):
        """Tell whether a host started later than a window before this one."""
        return settings.incarnation - incarnation < window * MILLISECONDS_PER_SECOND

    def has_full_history():
        """Tell whether all requests admitted in the last window were counted here."""
        return settings.starts_full or now() - state.started_at > window

    def find_usage(account, limit, share):
        usage = state.usage_by_account.setdefault(account.id, AccountUsage(now()))
        if usage.tokens is None:
            burst = (
                account.burst
                if has_full_history()
                else account.rate * INITIAL_FILL_SECONDS
            )
            usage.tokens = max(burst * share - usage.total, 1.0)
        if usage.limit != limit:
            usage.scale(limit)
        return usage

    def refill(account, usage, share):
        """Refill the token bucket and return its fill rate in tokens a second."""
        fill_rate = account.rate
        if has_full_history():
            fill_rate += account.burst / window
        elapsed = max(now() - usage.filled_at, 0.0)
        usage.filled_at = now()
        capacity = max(account.burst * share, 1.0)
        usage.tokens = min(usage.tokens + elapsed * fill_rate * share, capacity)
        usage.expire(now() - window)
        return fill_rate * share

    def admit(account, key=None, seconds_left=float("inf")):
        if account.rate <= 0:
            return Success(account)
        share = usable_share()
        limit = account.rate * window + account.burst
        usage = find_usage(account, limit, share)
        fill_rate = refill(account, usage, share)
        room = usage.room(max(limit * share, 1.0), fill_rate, window, now())
        places = usage.places
        places.expire(now())
        kept = 0.0
        if places.due_by_key and not places.is_due(key, now()):
            kept = places.count_before(key) + unreported(usage)
        # A full bucket gains no more tokens, so its last one is not kept.
        kept_tokens = min(kept, max(account.burst * share, 1.0) - 1.0)
        if room.tokens < 1.0 + kept_tokens or room.window_room < 1.0 + kept:
            return Failure(refuse(account, usage, room, key, seconds_left))
        places.remove(key)
        usage.add(1, now(), own_count=1)
        count = state.admitted_by_account.get(account.id, 0)
        state.admitted_by_account[account.id] = count + 1
        return Success(account)

    def refuse(account, usage, room, key, seconds_left):
        places = usage.places
        position = (places.count_before(key) + 1) / own_share(usage)
        # Callers that other hosts asked to return come in between.
        position += kernel.rng.random() * (1 / own_share(usage) - 1)
        position += unreported(usage)
        seconds = seconds_until_room(room, position)
        kept_until = places.due_by_key.get(key, now())
        retry_after = round_up(max(seconds, kept_until - now()))
        if key is not None and will_return(retry_after, seconds_left):
            places.add(key, now() + retry_after)
        metrics.count("rate_rejections")
        if now() - usage.logged_at >= LOG_INTERVAL_SECONDS:
            usage.logged_at = now()
            emit(
                events.ACCOUNT_LIMITED,
                account=account.id,
                retry_after=retry_after,
                places=len(places.due_by_key),
                used=round(usage.total, 1),
            )
        detail = f"account {account.id} is over its rate of {account.rate:g} a second"
        return Refusal(Reason.RATE_EXCEEDED, Verdict.NOT_RUN, detail, retry_after)

    def unreported(usage):
        """Return the expected requests that others admitted since their reports."""
        ages = []
        for host_counts in state.counts_by_host.values():
            age = now() - host_counts.merged_at
            if age <= MAX_REPORT_AGE_SECONDS:
                ages.append(age)
        if not ages:
            return 0.0
        per_second = max(usage.total - usage.own_total, 0.0) / window
        return per_second * sum(ages) / len(ages)

    def own_share(usage):
        """Return the share of the account's recent requests that this host admitted."""
        share = (usage.own_total + 1.0) / (usage.total + 1.0)
        return min(max(share, 1.0 / max(state.serving_hosts, 1)), 1.0)

    def refund(account):
        usage = state.usage_by_account.get(account.id)
        if usage is None or account.rate <= 0:
            return
        usage.add(-1, now(), own_count=-1)
        state.admitted_by_account[account.id] -= 1

    def merge_counts(host, incarnation, count_by_account):
        host_counts = state.counts_by_host.get(host)
        if host_counts is not None and incarnation < host_counts.incarnation:
            return
        if host_counts is None or incarnation > host_counts.incarnation:
            # The first counts of an unknown host may be older than the window and are
            # not charged. Those of a new incarnation of a known host, or of a host that
            # started within the window, are charged in full.
            needs_baseline = host_counts is None and not started_within_window(
                incarnation
            )
            baseline_end = now() + BASELINE_TIMEOUT_SECONDS if needs_baseline else 0.0
            host_counts = state.counts_by_host[host] = HostCounts(
                incarnation, baseline_end
            )
        host_counts.merged_at = now()
        for account, count in count_by_account.items():
            previous = host_counts.count_by_account.get(account)
            if previous is None:
                previous = count if now() < host_counts.baseline_until else 0
            host_counts.count_by_account[account] = max(count, previous)
            if count > previous:
                usage = state.usage_by_account.setdefault(account, AccountUsage(now()))
                # While settling, the others admit requests from their own parts of the
                # rate and use no tokens of this host.
                usage.add(count - previous, now(), not is_settling())
                usage.expire(now() - window)

    def admitted_counts():
        return state.admitted_by_account

    service = RateLimits(admit, refund, merge_counts, admitted_counts)
    kernel.register("rate_limits", service)
    return service
