"""Ledger of rate limit units in the store, with pure functions to change it.

The ledger is a single object. Each unit stands for the same share of every account's
rate and burst, so its size depends on the number of holders and not of accounts. It
is written only when holders join, leave or redistribute their units.
"""

from typing import NamedTuple, TypedDict

__all__ = [
    "LEDGER_PATH",
    "Ledger",
    "LedgerValue",
    "decode",
    "encode",
    "fair_units",
    "free_units",
    "with_mark",
    "with_units",
    "without_mark",
]

LEDGER_PATH = "limits/ledger"


class LedgerValue(TypedDict):
    """Stored form of a ledger."""

    total: int
    units: dict[str, int]
    marks: dict[str, str]


class Ledger(NamedTuple):
    """Number of units of each holder.

    Attributes
    ----------
    total : int
    units_by_holder : dict
    mark_by_holder : dict
        Marks on holders that appear absent; a running holder removes its own mark.
    """

    total: int
    units_by_holder: dict[str, int]
    mark_by_holder: dict[str, str]


def decode(value: LedgerValue):
    """Return the ledger of a stored value."""
    return Ledger(value["total"], value["units"], value["marks"])


def encode(ledger) -> LedgerValue:
    """Return the stored form of a ledger."""
    return LedgerValue(
        total=ledger.total, units=ledger.units_by_holder, marks=ledger.mark_by_holder
    )


def free_units(ledger):
    """Return the number of units without a holder."""
    return ledger.total - sum(ledger.units_by_holder.values())


def fair_units(total, holders):
    """Return an equal share of the units per holder, rounded up."""
    return -(-total // max(holders, 1))


def with_units(ledger, holder, units):
    """Return the ledger with a holder's number of units replaced, without its mark."""
    units_by_holder = dict(ledger.units_by_holder)
    units_by_holder.pop(holder, None)
    if units:
        units_by_holder[holder] = units
    return without_mark(ledger._replace(units_by_holder=units_by_holder), holder)


def with_mark(ledger, holder, mark):
    """Return the ledger with a mark on a holder that appears absent."""
    return ledger._replace(mark_by_holder=ledger.mark_by_holder | {holder: mark})


def without_mark(ledger, holder):
    """Return the ledger without a holder's mark; the same object if it has none."""
    if holder not in ledger.mark_by_holder:
        return ledger
    marks = dict(ledger.mark_by_holder)
    del marks[holder]
    return ledger._replace(mark_by_holder=marks)
