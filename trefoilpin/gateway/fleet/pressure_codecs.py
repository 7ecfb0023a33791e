"""Reports of pools under pressure as fields of a generated gossip message."""

import struct

from trefoilpin.gateway.admission.pool_pressure import MAX_REPORTED_POOLS
from trefoilpin.gateway.admission.pressure_estimates import PRIORITIES, PressureReport

__all__ = ["add_pressure", "read_pressure"]

# Expected wait by priority in hundredths of a second.
WAITS_LAYOUT = struct.Struct(f"!{PRIORITIES}H")
WAIT_UNITS_PER_SECOND = 100
MAX_UINT16 = 0xFFFF
MAX_DRAIN_RATE = 1e6
MAX_POOL_NAME = 256


def add_pressure(message, reports):
    """Add reports of pools under pressure to a generated struct, if there are any."""
    if not reports:
        return
    message.pressure_pools = [report.pool for report in reports]
    message.pressure_rooms = [report.has_room for report in reports]
    message.pressure_drain_rates = [report.drain_rate for report in reports]
    message.pressure_shed_shares = [report.shed_share for report in reports]
    message.pressure_waits = [
        WAITS_LAYOUT.pack(
            *(
                min(int(wait * WAIT_UNITS_PER_SECOND), MAX_UINT16)
                for wait in report.waits
            )
        )
        for report in reports
    ]


def read_pressure(message):
    """Return the reports of pools under pressure in a generated struct.

    Raises
    ------
    ValueError
        When a value is out of range, or there are too many.
    """
    if not message.pressure_pools:
        return ()
    if len(message.pressure_pools) > MAX_REPORTED_POOLS:
        raise ValueError("there are too many pools under pressure")
    reports = []
    for pool, has_room, drain_rate, shed_share, packed in zip(
        message.pressure_pools,
        message.pressure_rooms or (),
        message.pressure_drain_rates or (),
        message.pressure_shed_shares or (),
        message.pressure_waits or (),
    ):
        is_valid = 0.0 <= drain_rate <= MAX_DRAIN_RATE and 0.0 <= shed_share <= 1.0
        if not is_valid or len(pool) > MAX_POOL_NAME:
            raise ValueError("the report of a pool is out of range")
        waits = tuple(
            units / WAIT_UNITS_PER_SECOND for units in WAITS_LAYOUT.unpack(packed)
        )
        reports.append(PressureReport(pool, has_room, drain_rate, shed_share, waits))
    return tuple(reports)
