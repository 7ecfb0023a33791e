"""Conversion of reports on pools under pressure to fields of a gossip message."""

from trefoilpin.gateway.admission.account_usage import PoolReport

__all__ = ["set_pool_reports", "to_pool_reports"]

# In the levels of waiting requests: none of this priority have waited for long.
NO_LEVEL = -1.0


def set_pool_reports(message, reports):
    """Fill the fields for pools under pressure; without any they are left out.

    Parameters
    ----------
    message : BulletinStruct
    reports : tuple of PoolReport
    """
    if not reports:
        return
    message.pressed_pools = [report.pool for report in reports]
    message.pressed_levels = [to_levels(report) for report in reports]
    message.usage_accounts = [list(report.service_by_account) for report in reports]
    message.usage_seconds = [
        list(report.service_by_account.values()) for report in reports
    ]


def to_levels(report):
    """Return the levels of waiting requests by priority; empty if none wait."""
    if not report.is_waiting:
        return []
    count = max(report.lowest_by_priority, default=0) + 1
    return [
        report.lowest_by_priority.get(priority, NO_LEVEL) for priority in range(count)
    ]


def to_pool_reports(message):
    """Return the reports on pools under pressure as a tuple of ``PoolReport``.

    Parameters
    ----------
    message : BulletinStruct

    Raises
    ------
    ValueError
        When lists that belong together differ in length.
    """
    reports = []
    # Missing in messages of hosts that run an earlier version.
    rows = zip(
        message.pressed_pools or (),
        message.pressed_levels or (),
        message.usage_accounts or (),
        message.usage_seconds or (),
        strict=True,
    )
    for pool, levels, accounts, seconds in rows:
        lowest_by_priority = {}
        for priority, level in enumerate(levels):
            if level != NO_LEVEL:
                lowest_by_priority[priority] = level
        service_by_account = dict(zip(accounts, seconds, strict=True))
        reports.append(
            PoolReport(pool, bool(levels), lowest_by_priority, service_by_account)
        )
    return tuple(reports)
