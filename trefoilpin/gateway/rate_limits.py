"""Rate limits of client accounts over the whole fleet, by shared counters.

An account may have ``rate * window + burst`` requests in any window of that many
seconds, and ``burst`` at once. Every host counts what it admitted itself and what the
others report as admitted, so each can use the whole rate without coordination.
Requests admitted twice before the counts arrive are charged later. A host that hears
only some of the serving hosts uses just their share of the rate. The hosts on the other
side leave the share of the missing ones unused for a while, so that both sides of a
network partition together stay within the rate.
"""

from collections import deque
from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["RateLimitSettings", "RateLimits", "create"]

# Counts are kept for spans of this length until they leave the window.
SPAN_SECONDS = 0.1
# A daemon that restarts begins with this many seconds of each rate: what the fleet
# gave out before is not known to it.
INITIAL_SECONDS = 0.1
# Counts of a host's past come within this time after it is first heard.
BASELINE_SECONDS = 3.0
# After a start the hosts that serve have to know each other and hear each other's
# counts; until no further one was found for a while, each gives out its part only, of
# twice the hosts that are planned, as callers may have been sent to others.
LEAST_SETTLING_SECONDS = 0.5
QUIET_SECONDS = 0.4
MOST_SETTLING_SECONDS = 1.5
SETTLING_FACTOR = 2
MILLISECONDS = 1000
LEAST_RETRY_SECONDS = 0.05
MOST_RETRY_SECONDS = 2.0


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

    ``admit(account)`` returns ``Success`` or the ``Refusal``. ``refund(account)``
    returns the token of a request that was not sent. ``merge_counts(host, incarnation,
    count_by_account)`` takes what another host admitted since its start, and
    ``admitted_counts()`` returns the counts of this host.
    """

    admit: Callable
    refund: Callable
    merge_counts: Callable[[str, int, dict], None]
    admitted_counts: Callable[[], dict]


class AccountUsage:
    """Recent usage of one account over the whole fleet.

    Attributes
    ----------
    level : float or None
        Tokens available at once; None before the first request of the account here.
    filled_at : float
    limit : float or None
        Requests allowed in a window when the counts were last scaled.
    spans : deque of [float, float]
        Start of a time span, and requests counted in it.
    total : float
        Sum over the spans.
    """

    def __init__(self, now):
        self.level: float | None = None
        self.filled_at = now
        self.limit: float | None = None
        self.spans: deque[list[float]] = deque()
        self.total = 0.0

    def add(self, count, now, takes_level=True):
        """Count requests that were admitted, or take some back."""
        if takes_level and self.level is not None:
            self.level -= count
        self.total += count
        if not self.spans or now - self.spans[-1][0] >= SPAN_SECONDS:
            self.spans.append([now, 0.0])
        self.spans[-1][1] += count

    def forget(self, before):
        """Drop what was counted before a time."""
        while self.spans and self.spans[0][0] < before:
            self.total -= self.spans.popleft()[1]

    def scale(self, limit):
        """Count what was given under another rate in proportion to the new one."""
        factor = limit / (self.limit or limit)
        self.limit = limit
        self.total *= factor
        for span in self.spans:
            span[1] *= factor


class HostCounts:
    """Requests that one incarnation of another host admitted, by account.

    Until ``baseline_until`` the first count of an account is a baseline: it covers
    requests from before this host heard of the other.
    """

    def __init__(self, incarnation, baseline_until):
        self.incarnation = incarnation
        self.baseline_until = baseline_until
        self.count_by_account: dict[str, int] = {}


class RateLimitState:
    """Usage of each account, and what every host admitted."""

    def __init__(self, now):
        self.started_at = now
        self.total = 0
        self.total_changed_at = now
        self.usage_by_account: dict[str, AccountUsage] = {}
        self.admitted_by_account: dict[str, int] = {}
        self.counts_by_host: dict[str, HostCounts] = {}


def create(kernel, settings, reached):
    """Create the service ``rate_limits``.

    Parameters
    ----------
    kernel : Kernel
    settings : RateLimitSettings
    mesh_coverage : callable
        Hosts that serve and were heard of late, and all that serve.

    Returns
    -------
    RateLimits
    """
    now = kernel.clock.now
    state = RateLimitState(now())
    window = settings.window_seconds

    def usable_share():
        """Return the part of every rate that this host may give out."""
        heard, total = reached()
        if total != state.total:
            state.total, state.total_changed_at = total, now()
        if is_settling():
            return 1.0 / max(total, settings.planned_hosts * SETTLING_FACTOR)
        if total <= 1:
            return 1.0 / settings.planned_hosts if not settings.starts_full else 1.0
        if heard * 2 <= total:
            return 1.0 / max(total, settings.planned_hosts)
        return heard / total

    def is_settling():
        running = now() - state.started_at
        if settings.starts_full or running >= MOST_SETTLING_SECONDS:
            return False
        is_quiet = now() - state.total_changed_at >= QUIET_SECONDS
        return running < LEAST_SETTLING_SECONDS or not is_quiet

    def started_lately(incarnation):
        """Tell whether a host's counts began within the window before this start."""
        return settings.incarnation - incarnation < window * MILLISECONDS

    def knows_past():
        """Tell whether all that was given within the last window was counted here."""
        return settings.starts_full or now() - state.started_at > window

    def find(account, limit, share):
        usage = state.usage_by_account.setdefault(account.id, AccountUsage(now()))
        if usage.level is None:
            burst = account.burst if knows_past() else account.rate * INITIAL_SECONDS
            usage.level = max(burst * share - usage.total, 1.0)
        if usage.limit != limit:
            usage.scale(limit)
        return usage

    def refill(account, usage, share):
        """Let time pass for an account, and return the requests it gets a second."""
        pace = account.rate
        if knows_past():
            pace += account.burst / window
        elapsed = max(now() - usage.filled_at, 0.0)
        usage.filled_at = now()
        most = max(account.burst * share, 1.0)
        usage.level = min(usage.level + elapsed * pace * share, most)
        usage.forget(now() - window)
        return pace * share

    def admit(account):
        if account.rate <= 0:
            return Success(account)
        share = usable_share()
        limit = account.rate * window + account.burst
        usage = find(account, limit, share)
        pace = refill(account, usage, share)
        allowed = max(limit * share, 1.0)
        if usage.level < 1.0 or usage.total + 1.0 > allowed:
            return Failure(refuse(account, usage, allowed, pace))
        usage.add(1, now())
        count = state.admitted_by_account.get(account.id, 0)
        state.admitted_by_account[account.id] = count + 1
        return Success(account)

    def refuse(account, usage, allowed, pace):
        missing = max(1.0 - usage.level, usage.total + 1.0 - allowed)
        wait = min(max(missing / pace, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS)
        detail = f"account {account.id} is over its rate of {account.rate:g} a second"
        return Refusal(Reason.RATE_EXCEEDED, Verdict.NOT_RUN, detail, wait)

    def refund(account):
        usage = state.usage_by_account.get(account.id)
        if usage is None or account.rate <= 0:
            return
        usage.add(-1, now())
        state.admitted_by_account[account.id] -= 1

    def merge_counts(host, incarnation, count_by_account):
        known = state.counts_by_host.get(host)
        if known is not None and incarnation < known.incarnation:
            return
        if known is None or incarnation > known.incarnation:
            # The past of a host is left out, unless all of it was heard or is so short
            # that it counts.
            has_past = known is None and not started_lately(incarnation)
            baseline = now() + BASELINE_SECONDS if has_past else 0.0
            known = state.counts_by_host[host] = HostCounts(incarnation, baseline)
        for account, count in count_by_account.items():
            before = known.count_by_account.get(account)
            if before is None:
                before = count if now() < known.baseline_until else 0
            known.count_by_account[account] = max(count, before)
            if count > before:
                usage = state.usage_by_account.setdefault(account, AccountUsage(now()))
                # What others give out of their own parts leaves this host's alone.
                usage.add(count - before, now(), not is_settling())
                usage.forget(now() - window)

    def admitted_counts():
        return state.admitted_by_account

    service = RateLimits(admit, refund, merge_counts, admitted_counts)
    kernel.register("rate_limits", service)
    return service
