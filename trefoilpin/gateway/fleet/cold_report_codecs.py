"""What upstreams told of being cold, as fields of a generated gossip message."""

from trefoilpin.gateway.balancing.cold_checks import (
    MAX_REPORTS,
    MAX_WARMTH_AGE_SECONDS,
    ColdReport,
)
from trefoilpin.thrift_gen.bulletins.ttypes import ColdReportStruct

__all__ = ["read_cold_reports", "write_cold_reports"]

MAX_TEXT_CHARACTERS = 256
MAX_COLD_SECONDS = 3600.0


def write_cold_reports(reports):
    """Return generated structs of reports, or None without any."""
    return [ColdReportStruct(*report) for report in reports] or None


def read_cold_reports(generated):
    """Return the reports in generated structs; none in an earlier version's message.

    Raises
    ------
    ValueError
        When there are too many, or one is out of range.
    """
    reports = []
    if len(generated or ()) > MAX_REPORTS:
        raise ValueError("there are too many reports of cold upstreams")
    for item in generated or ():
        report = ColdReport(
            item.pool, item.upstream, item.born, item.cold_seconds, item.age
        )
        if None in report or not is_valid(report):
            raise ValueError("a report of a cold upstream is out of range")
        reports.append(report)
    return tuple(reports)


def is_valid(report):
    """Tell whether a report is in range; not-a-number is not."""
    return (
        0 < len(report.pool) <= MAX_TEXT_CHARACTERS
        and 0 < len(report.upstream) <= MAX_TEXT_CHARACTERS
        and report.born >= 0
        and 0.0 <= report.cold_seconds <= MAX_COLD_SECONDS + MAX_WARMTH_AGE_SECONDS
        and 0.0 <= report.age <= MAX_WARMTH_AGE_SECONDS
    )
