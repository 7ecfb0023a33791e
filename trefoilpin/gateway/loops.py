"""Periodic tasks that continue after an exception in a step."""

import logging

__all__ = ["repeat"]

logger = logging.getLogger(__name__)


def repeat(sleep, seconds, step, *arguments):
    """Call a step forever with a pause after each call; exceptions are logged.

    Parameters
    ----------
    sleep : callable
    seconds : callable
        Returns the length of the pause in seconds.
    step : callable
    """
    while True:
        try:
            step(*arguments)
        except Exception:
            logger.exception(
                "%s failed; trying again after the pause", step.__qualname__
            )
        sleep(seconds())
