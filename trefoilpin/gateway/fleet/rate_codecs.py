"""Counts of admitted requests as fields of a generated gossip message."""

from trefoilpin.gateway.admission.rate_reports import RateReport

__all__ = ["read_rates", "write_rates"]


def write_rates(message, admitted_by_account, report):
    """Add the counts, and a ``RateReport`` if there is one, to a generated struct."""
    message.admitted_accounts = list(admitted_by_account)
    message.admitted_counts = list(admitted_by_account.values())
    if report.in_window is None:
        return
    message.admitted_in_window = [
        list(report.in_window[account]) for account in admitted_by_account
    ]
    message.wants_all_counts = report.wants_all or None
    message.has_all_counts = report.has_all or None
    message.hears_receiver = report.hears_receiver or None
    message.missing_hosts = sorted(report.missing) or None
    message.serving_hosts = list(report.zone_by_serving) or None
    message.serving_zones = list(report.zone_by_serving.values()) or None


def read_rates(message):
    """Return the counts in a generated struct, and the ``RateReport``.

    Raises
    ------
    ValueError
        When counts are missing.
    """
    accounts, counts = message.admitted_accounts, message.admitted_counts
    admitted_by_account = dict(zip(accounts, counts))
    if message.admitted_in_window is None:
        # In messages of an earlier version, and in those without counts.
        return admitted_by_account, RateReport()
    if not len(accounts) == len(counts) == len(message.admitted_in_window):
        raise ValueError("the counts of the accounts are incomplete")
    in_window = map(tuple, message.admitted_in_window)
    return admitted_by_account, RateReport(
        dict(zip(accounts, in_window)),
        bool(message.wants_all_counts),
        bool(message.has_all_counts),
        bool(message.hears_receiver),
        frozenset(message.missing_hosts or ()),
        dict(zip(message.serving_hosts or (), message.serving_zones or ())),
    )
