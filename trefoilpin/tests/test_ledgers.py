"""Ledger changes keep the total of units and leave other holders alone."""

from trefoilpin import ledgers
from trefoilpin.ledgers import Ledger


def test_changes_apply_to_one_holder_only():
    before = Ledger(8, {"a": 3, "b": 2}, {"a": "m1"})
    after = ledgers.with_units(before, "a", 0)
    assert after == Ledger(8, {"b": 2}, {})
    assert before.units_by_holder == {"a": 3, "b": 2}
    assert ledgers.free_units(after) == 6
    assert ledgers.with_mark(after, "b", "m2").mark_by_holder == {"b": "m2"}
    assert ledgers.without_mark(after, "b") is after


def test_fair_units_cover_the_total():
    for total, holders in ((64, 16), (64, 44), (5, 3), (64, 0)):
        assert ledgers.fair_units(total, holders) * max(holders, 1) >= total


def test_encoded_ledger_decodes_to_the_same_ledger():
    ledger = Ledger(8, {"a": 3}, {"a": "m"})
    assert ledgers.decode(ledgers.encode(ledger)) == ledger
