"""Service registry, and the order in which services start and stop."""

import pytest

from trefoilpin.fakes.loops import LoopState, movable_clock
from trefoilpin.kernel import create_kernel


def create():
    return create_kernel(movable_clock(LoopState(1)), lambda *task: None)


def test_services_are_found_by_name():
    kernel = create()
    kernel.register("one", "service")
    assert kernel.find("one") == "service"
    with pytest.raises(LookupError, match="'two'"):
        kernel.find("two")
    with pytest.raises(ValueError, match="already"):
        kernel.register("one", "again")


def test_services_stop_in_reverse_order():
    kernel = create()
    calls = []
    for name in ("a", "b"):
        kernel.register(
            name,
            name,
            lambda name=name: calls.append(f"start {name}"),
            lambda name=name: calls.append(f"stop {name}"),
        )
    kernel.start()
    kernel.stop()
    assert calls == ["start a", "start b", "stop b", "stop a"]
