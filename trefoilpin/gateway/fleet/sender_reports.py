"""What the hosts that send requests to upstreams report to each other.

Traffic within a zone is free, so hosts of a zone get everything in each message. Hosts
of other zones get what changed, and at a longer period what is needed less soon.
"""

from typing import Callable, NamedTuple

__all__ = ["SenderReports", "create"]

# With more accounts than this, a message holds only those with recent requests.
MAX_ACCOUNTS = 100
# Hosts of other zones are sent the counts of all accounts at most once in this time.
ALL_ACCOUNTS_PERIOD_SECONDS = 2.0
# Hosts of other zones are sent reports of pools under pressure at most once in this
# time; a report is used for 1.5 s.
CROSS_ZONE_REPORTS_PERIOD_SECONDS = 0.7
# Reports of pools are collected once for all messages within this time.
MAX_CACHE_AGE_SECONDS = 0.1


class SenderReports(NamedTuple):
    """Functions that complete messages between hosts that send requests.

    ``add_to(message, peer)`` returns the ``GossipMessage`` with the reports for a
    ``Peer``. ``start_admission_period()`` starts a new period; only accounts whose
    counts changed since its start are sent when there are many.
    """

    add_to: Callable
    start_admission_period: Callable[[], None]


class SenderReportState:
    """Counts at the start of the period, and recently collected reports of pools."""

    def __init__(self):
        self.admitted_at_period_start: dict[str, int] = {}
        self.report_by_field: dict[str, tuple] = {}
        self.collected_at = float("-inf")


def changed_counts(counts, earlier_counts):
    """Return the counts that differ from earlier ones."""
    changed = {}
    for account, count in counts.items():
        if earlier_counts.get(account) != count:
            changed[account] = count
    return changed


def create(kernel):
    """Create the functions for one host.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    SenderReports
    """
    state = SenderReportState()
    now = kernel.clock.now
    own = kernel.find("members").own
    upstreams = kernel.find("upstreams")
    rate_limits = kernel.find("rate_limits")
    account_usage = kernel.find("account_usage")
    pool_pressure = kernel.find("pool_pressure")

    def add_to(message, peer):
        is_same_zone = peer.zone == own.zone
        return message._replace(
            outcomes=upstreams.recent_outcomes(is_same_zone),
            in_flight_by_upstream=upstreams.in_flight_counts(
                None if is_same_zone else peer.zone
            ),
            admitted_by_account=admitted_counts_for(peer),
            **reports_for(peer),
        )

    def admitted_counts_for(peer):
        """Return the counts of admitted requests for a host that sends requests.

        A host of another zone gets the counts that changed since the last message but
        one, so that one lost message loses no count, and now and then all of them.
        """
        counts = recent_admitted_counts()
        if peer.zone == own.zone:
            return counts
        before_last = peer.sent_counts[0]
        peer.sent_counts = (peer.sent_counts[1], dict(counts))
        if now() - peer.all_counts_sent_at > ALL_ACCOUNTS_PERIOD_SECONDS:
            peer.all_counts_sent_at = now()
            return counts
        return changed_counts(counts, before_last)

    def recent_admitted_counts():
        counts = rate_limits.admitted_counts()
        if len(counts) <= MAX_ACCOUNTS:
            return counts
        return changed_counts(counts, state.admitted_at_period_start)

    def start_admission_period():
        if len(rate_limits.admitted_counts()) > MAX_ACCOUNTS:
            state.admitted_at_period_start = dict(rate_limits.admitted_counts())

    def reports_for(peer):
        """Return the reports of pools under pressure, as fields of a message."""
        if peer.zone != own.zone:
            if now() - peer.reports_sent_at < CROSS_ZONE_REPORTS_PERIOD_SECONDS:
                return {}
            peer.reports_sent_at = now()
        if now() - state.collected_at > MAX_CACHE_AGE_SECONDS:
            state.collected_at = now()
            state.report_by_field = {
                "pool_reports": account_usage.reports(),
                "pressure_reports": pool_pressure.reports(),
            }
        return state.report_by_field

    return SenderReports(add_to, start_admission_period)
