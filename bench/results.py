"""Output format of benchmark results."""

import json
import sys
from typing import NamedTuple

__all__ = ["Result", "finish", "report"]


class Result(NamedTuple):
    """One figure of a benchmark.

    Attributes
    ----------
    measure : str
    value : float
    unit : str
    bound : float or None
        Upper limit, or lower limit when ``at_least`` is set; None for a figure that is
        only reported.
    seed : int or None
    baseline : float or None
        The same figure with the mechanism disabled, or with a simple alternative.
    at_least : bool
        Whether ``bound`` is a lower limit.
    """

    measure: str
    value: float
    unit: str
    bound: float | None = None
    seed: int | None = None
    baseline: float | None = None
    at_least: bool = False


def report(result):
    """Print a result as a JSON line; return whether it is within its bound."""
    row = {name: getattr(result, name) for name in Result._fields[:6]}
    if result.at_least:
        row["at_least"] = True
    print(json.dumps(row), flush=True)
    if result.bound is None:
        return True
    if result.at_least:
        return result.value >= result.bound
    return result.value <= result.bound


def finish(results):
    """Print results and exit, with status 1 if any is out of bounds."""
    within_bounds = [report(result) for result in results]
    sys.exit(0 if all(within_bounds) else 1)
