"""Units are conserved whatever is planned."""

from trefoilpin import ledgers
from trefoilpin.ledgers import Ledger


def test_units_and_marks_of_one_holder_change_alone():
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


def test_the_form_in_the_store_is_read_back():
    ledger = Ledger(8, {"a": 3}, {"a": "m"})
    assert ledgers.decode(ledgers.encode(ledger)) == ledger
