"""Form of a measure's result."""

import json
import sys
from typing import NamedTuple

__all__ = ["Result", "finish", "report"]


class Result(NamedTuple):
    """One figure of a measure.

    Attributes
    ----------
    measure : str
    value : float
    unit : str
    bound : float or None
        The largest value allowed, or the least when ``at_least`` is set; None for a
        figure that is only reported.
    seed : int or None
    baseline : float or None
        The same figure with the mechanism switched off, or by a naive rule.
    at_least : bool
    """

    measure: str
    value: float
    unit: str
    bound: float | None = None
    seed: int | None = None
    baseline: float | None = None
    at_least: bool = False


def report(result):
    """Print a result as a JSON line; return False when it misses its bound."""
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
    """Report results and exit with 1 when one misses its bound."""
    kept = [report(result) for result in results]
    sys.exit(0 if all(kept) else 1)
