"""System clock for the kernel."""

import time

from trefoilpin.kernel import Clock

__all__ = ["boot_seconds", "system_clock"]


def boot_seconds():
    """Return seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def system_clock(sleep=time.sleep):
    """Return the system clock.

    Parameters
    ----------
    sleep : callable
        Suspends the calling task; the daemon passes the one of eventlet.

    Returns
    -------
    Clock
    """
    return Clock(now=boot_seconds, wall=time.time, sleep=sleep)
