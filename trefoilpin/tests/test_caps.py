"""Concurrency and connections of one host."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import caps


def test_a_host_can_always_run_one_request():
    cap = caps.create_cap(6, 350, 44)
    assert cap.limit == 1.0
    assert caps.may_start(cap, 0, 0.0)
    assert not caps.may_start(cap, 1, 0.0)


def test_refusals_lower_the_average_to_the_share_of_the_slots():
    cap = caps.create_cap(6, 350, 44)
    for turn in range(10):
        caps.on_shed(cap, float(turn))
    assert cap.limit == 6 / 44
    assert not caps.may_start(cap, 0, 9.0)
    assert caps.may_start(cap, 0, 9.0 + cap.service_seconds * 44 / 6)


def test_full_use_raises_the_limit_up_to_the_slots():
    cap = caps.create_cap(6, 350, 44)
    for _ in range(200):
        caps.on_success(cap, int(cap.limit), 0.05, 0.0)
    assert cap.limit == 6
    caps.on_success(cap, 0, 0.05, 0.0)
    assert cap.limit == 6


def test_connections_bound_the_limit():
    assert caps.create_cap(64, 88, 44).most == 2
    assert caps.create_cap(64, 40, 44).most == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 460), st.integers(1, 400), st.integers(0, 2**32))
def test_each_upstream_is_used_by_as_many_hosts_as_it_has_connections(
    fleet, connections, offset
):
    users = sum(
        caps.in_subset(position, offset, fleet, connections)
        for position in range(fleet)
    )
    assert users == min(fleet, connections)
