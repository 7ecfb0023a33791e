"""The generated reference pages are up to date with the code."""

import pytest

from trefoilpin import events, pages


@pytest.mark.parametrize("name", sorted(pages.PAGE_BY_NAME))
def test_page_is_up_to_date(name):
    text = (pages.DOCS / name).read_text(encoding="utf-8")
    assert text == pages.PAGE_BY_NAME[name](), "run `make docs`"


def test_event_numbers_and_names_are_unique():
    numbers = [event.number for event in events.CATALOGUE]
    names = [event.name for event in events.CATALOGUE]
    assert len(set(numbers)) == len(numbers)
    assert len(set(names)) == len(names)
