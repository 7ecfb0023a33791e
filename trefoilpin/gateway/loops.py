"""Periodic tasks that outlive a fault of one of their steps."""

import logging

__all__ = ["repeat"]

logger = logging.getLogger(__name__)


def repeat(sleep, seconds, step, *arguments):
    """Run a step for ever, with a pause after each; a fault is logged.

    Parameters
    ----------
    sleep : callable
    seconds : callable
        Gives the seconds to pause.
    step : callable
    """
    while True:
        try:
            step(*arguments)
        except Exception:
            logger.exception("%s failed and is tried again", step.__qualname__)
        sleep(seconds())
