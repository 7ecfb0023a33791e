"""Ledger of units in the store, and the pure functions that plan its changes.

One object holds it: each unit stands for the same share of every account's rate and
burst, so its size follows the number of holders and not that of the accounts, and it
is written only when holders come, go or share anew.
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
    """The ledger as the store holds it."""

    total: int
    units: dict[str, int]
    marks: dict[str, str]


class Ledger(NamedTuple):
    """Who holds how many units.

    Attributes
    ----------
    total : int
    units_by_holder : dict
    mark_by_holder : dict
        Marks on holders that seem gone; a holder that still runs removes its own.
    """

    total: int
    units_by_holder: dict[str, int]
    mark_by_holder: dict[str, str]


def decode(value: LedgerValue):
    """Return the ledger that the store holds."""
    return Ledger(value["total"], value["units"], value["marks"])


def encode(ledger) -> LedgerValue:
    """Return a ledger in the store's form."""
    return LedgerValue(
        total=ledger.total, units=ledger.units_by_holder, marks=ledger.mark_by_holder
    )


def free_units(ledger):
    """Return how many units nobody holds."""
    return ledger.total - sum(ledger.units_by_holder.values())


def fair_units(total, holders):
    """Return the units each of so many holders should have, rounded up."""
    return -(-total // max(holders, 1))


def with_units(ledger, holder, units):
    """Return the ledger with another number for one holder."""
    units_by_holder = dict(ledger.units_by_holder)
    units_by_holder.pop(holder, None)
    if units:
        units_by_holder[holder] = units
    return without_mark(ledger._replace(units_by_holder=units_by_holder), holder)


def with_mark(ledger, holder, mark):
    """Return the ledger with a mark on a holder that seems gone."""
    return ledger._replace(mark_by_holder=ledger.mark_by_holder | {holder: mark})


def without_mark(ledger, holder):
    """Return the ledger without a holder's mark; the same one when it has none."""
    if holder not in ledger.mark_by_holder:
        return ledger
    marks = dict(ledger.mark_by_holder)
    del marks[holder]
    return ledger._replace(mark_by_holder=marks)
