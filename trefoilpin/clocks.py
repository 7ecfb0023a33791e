"""The machine's clocks."""

import time

from trefoilpin.kernel import Clock

__all__ = ["boot_seconds", "system_clock"]


def boot_seconds():
    """Return seconds since boot, time spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def system_clock(sleep=time.sleep):
    """Return the machine's clock.

    Parameters
    ----------
    sleep : callable
        Suspends the calling task; eventlet's within the daemon.

    Returns
    -------
    Clock
    """
    return Clock(now=boot_seconds, wall=time.time, sleep=sleep)
