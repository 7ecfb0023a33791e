"""Rate limits of client accounts over the whole fleet, by shared counters.

An account may have ``rate * window + burst`` requests in any window of that many
seconds, and ``burst`` at once. Every host counts the requests that it admitted itself
and those that the others report as admitted, so each can use the whole rate without
coordination. Requests that several hosts admit before their counts arrive are charged
afterwards. A host that does not know what all others admit uses a share of the rate,
see ``rate_shares``, so that all sides of a partition together stay within it.

A rejection names the time at which there is room for the request, behind the callers
that were asked to return before. Their places are kept, so that a caller that returns
to this host when it was told is served although others ask for more than the rate.
"""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway.admission import rate_shares
from trefoilpin.gateway.admission.account_windows import OWN, AccountUsage
from trefoilpin.gateway.admission.rate_reports import RateReport
from trefoilpin.gateway.admission.return_times import (
    round_up,
    seconds_until_room,
    will_return,
)
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["RateLimitSettings", "RateLimits", "create"]

# A restarted daemon does not know what the fleet admitted before. It fills the token
# bucket of an account with this many seconds of the rate.
INITIAL_FILL_SECONDS = 0.1
# What this host admitted longer ago than its reports take is known to the others. The
# age of their last reports is added, as theirs and this host's may be lost alike.
REPORTED_SECONDS = 0.2
# Longest time for which the bucket of an account makes up for late counts.
MAX_DEBT_SECONDS = 0.5
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
    address, zone : str
        Of this host.
    zones : tuple of str
        All zones that may have hosts.
    overshoot, slack : float
        Tolerance for requests that are not reported yet, as a share of what an account
        may have in a window, and in requests.
    """

    starts_full: bool
    planned_hosts: int
    window_seconds: float
    address: str
    zone: str
    zones: tuple[str, ...] = ()
    overshoot: float = 0.0
    slack: float = 0.0


class RateLimits(NamedTuple):
    """``rate_limits``: fleet-wide rate limits of client accounts.

    ``admit(account, key, seconds_left)`` returns ``Success`` or the ``Refusal``, where
    ``key`` is the same when the request comes again, and the caller gives up after
    ``seconds_left``. ``refund(account)`` returns the token of a request that was not
    sent. ``merge_counts(host, incarnation, count_by_account, report, age)`` takes what
    another host had admitted since its start ``age`` seconds ago, with its
    ``RateReport``, and returns True when that host should be answered at once.
    ``admitted_counts()`` returns the counts of this host, ``counts_in_window()`` those
    of accounts with requests in the last window, and ``report_for(host, counts,
    has_all)`` the ``RateReport`` that goes with them.
    """

    admit: Callable
    refund: Callable
    merge_counts: Callable[..., bool]
    admitted_counts: Callable[[], dict]
    counts_in_window: Callable[[], dict]
    report_for: Callable[[str, dict, bool], RateReport]


class HostCounts:
    """Requests that one incarnation of another host admitted, by account."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.count_by_account: dict[str, int] = {}


class RateLimitState:
    """Usage of each account, and requests that each host admitted."""

    def __init__(self, now):
        self.started_at = now
        self.usage_by_account: dict[str, AccountUsage] = {}
        self.admitted_by_account: dict[str, int] = {}
        self.counts_by_host: dict[str, HostCounts] = {}


def create(kernel, settings, sender_view):
    """Create the service ``rate_limits``.

    Parameters
    ----------
    kernel : Kernel
    settings : RateLimitSettings
    sender_view : callable
        Returns the current ``SenderView``.

    Returns
    -------
    RateLimits
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    state = RateLimitState(now())
    window = settings.window_seconds
    shares = rate_shares.create(kernel, settings, sender_view)

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
        # With a small share, a host is charged more than it refills.
        tokens = max(usage.tokens, -account.rate * MAX_DEBT_SECONDS)
        usage.tokens = min(tokens + elapsed * fill_rate * share, capacity)
        usage.expire(now() - window)
        return fill_rate * share

    def find_room(account, usage, share):
        """Return the ``Room`` of an account with the share that this host may use."""
        limit = account.rate * window + account.burst
        fill_rate = refill(account, usage, share.value)
        room = usage.room(limit, fill_rate, window, now())
        allowed, counted = shared_limit(limit, usage, share)
        window_room = min(room.window_room, allowed - counted)
        return room._replace(window_room=window_room)

    def shared_limit(limit, usage, share):
        """Return what the hosts that share may have, and what they had."""
        if share.group is None:
            return limit, usage.total
        return max(limit * share.value, 1.0), usage.group_total(share.group)

    def may_go_unreported(limit, usage, share):
        """Tell whether one more request fits before the others have the counts.

        Until then each host may admit its part of what is left of the limit and of the
        tolerance, so that together they stay within both. Half of it is divided
        evenly, and half as it was used before.
        """
        if share.part >= share.value:
            return True
        allowed, counted = shared_limit(limit, usage, share)
        recent = usage.counts_since(now() - REPORTED_SECONDS - share.silence)
        unreported = recent.get(OWN, 0.0)
        reported = counted - unreported
        for host, count in recent.items():
            if host != OWN and (share.group is None or host in share.group):
                reported -= count
        spare = (limit * settings.overshoot + settings.slack) * share.value
        used = (usage.own_total - unreported) / max(reported, allowed / 4, 1.0)
        part = (share.part / share.value + used) / 2
        return unreported + 1.0 <= (allowed + spare - reported) * part

    def admit(account, key=None, seconds_left=float("inf")):
        if account.rate <= 0:
            return Success(account)
        share = shares.share()
        limit = account.rate * window + account.burst
        usage = find_usage(account, limit, share.value)
        room = find_room(account, usage, share)
        places = usage.places
        places.expire(now())
        kept = 0.0
        if places.due_by_key and not places.is_due(key, now()):
            kept = places.count_before(key) + unreported(usage)
        # A full bucket gains no more tokens, so its last one is not kept.
        kept_tokens = min(kept, max(account.burst * share.value, 1.0) - 1.0)
        has_room = room.tokens >= 1.0 + kept_tokens and room.window_room >= 1.0 + kept
        if not has_room or not may_go_unreported(limit, usage, share):
            return Failure(refuse(account, usage, room, key, seconds_left))
        places.remove(key)
        usage.add(1, now())
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
        ages = shares.ages()
        if not ages:
            return 0.0
        per_second = max(usage.total - usage.own_total, 0.0) / window
        return per_second * sum(ages) / len(ages)

    def own_share(usage):
        """Return the share of the account's recent requests that this host admitted."""
        share = (usage.own_total + 1.0) / (usage.total + 1.0)
        return min(max(share, 1.0 / shares.host_count()), 1.0)

    def refund(account):
        usage = state.usage_by_account.get(account.id)
        if usage is None or account.rate <= 0:
            return
        usage.add(-1, now())
        state.admitted_by_account[account.id] -= 1

    def merge_counts(host, incarnation, count_by_account, report, age):
        was_complete = shares.is_complete(host, incarnation)
        if not shares.receive(host, incarnation, report, age):
            return False
        host_counts = state.counts_by_host.get(host)
        if host_counts is None or incarnation > host_counts.incarnation:
            host_counts = state.counts_by_host[host] = HostCounts(incarnation)
        # While settling, the others admit requests from their own parts of the rate,
        # and what a host admitted while it was not heard came from its own part.
        uses_tokens = was_complete and not shares.is_settling()
        in_window = report.in_window or {}
        for account, count in count_by_account.items():
            previous = host_counts.count_by_account.get(account)
            host_counts.count_by_account[account] = max(count, previous or 0)
            slots = in_window.get(account, ())
            if was_complete and previous is not None:
                slots = (max(count - previous, 0),)
            charge(host, account, slots, count - (previous or 0), uses_tokens)
        became_complete = shares.is_complete(host, incarnation) and not was_complete
        return report.wants_all or became_complete

    def charge(host, account, slots, most, uses_tokens):
        """Count requests of another host by their age, ``most`` of them together."""
        usage = state.usage_by_account.setdefault(account, AccountUsage(now()))
        for seconds, count in enumerate(slots):
            charged = min(count, most)
            if charged > 0:
                usage.add(charged, now() - seconds, uses_tokens, host)
                most -= charged
        usage.expire(now() - window)

    def admitted_counts():
        return state.admitted_by_account

    def counts_in_window():
        counts = {}
        for account, usage in state.usage_by_account.items():
            usage.expire(now() - window)
            if usage.own_total > 0:
                counts[account] = state.admitted_by_account[account]
        return counts

    def report_for(host, counts, has_all):
        in_window = {}
        for account in counts:
            usage = state.usage_by_account[account]
            usage.expire(now() - window)
            in_window[account] = (usage.own_count(),)
            if has_all:
                in_window[account] = usage.own_slots(now())
        return shares.report_for(host, has_all)._replace(in_window=in_window)

    service = RateLimits(
        admit,
        refund,
        merge_counts,
        admitted_counts,
        counts_in_window,
        report_for,
    )
    kernel.register("rate_limits", service)
    return service
