"""Concurrency limit of one host at one upstream, and the hosts that use it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import caps


def test_host_can_always_run_one_request():
    cap = caps.create_cap(6, 350, 44)
    assert cap.limit == 1.0
    assert caps.may_start(cap, 0, 0.0)
    assert not caps.may_start(cap, 1, 0.0)


def test_shed_requests_lower_the_limit_to_the_share_of_the_slots():
    cap = caps.create_cap(6, 350, 44)
    for second in range(10):
        caps.on_shed(cap, float(second))
    assert cap.limit == 6 / 44
    assert not caps.may_start(cap, 0, 9.0)
    assert caps.may_start(cap, 0, 9.0 + cap.mean_service_seconds * 44 / 6)


def test_full_use_raises_the_limit_up_to_the_slots():
    cap = caps.create_cap(6, 350, 44)
    for _ in range(200):
        caps.on_success(cap, int(cap.limit), 0.05, 0.0)
    assert cap.limit == 6
    caps.on_success(cap, 0, 0.05, 0.0)
    assert cap.limit == 6


def test_connections_bound_the_limit():
    assert caps.create_cap(64, 88, 44).upper_bound == 2
    assert caps.create_cap(64, 40, 44).upper_bound == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 460), st.integers(1, 400), st.integers(0, 2**32))
def test_each_upstream_is_used_by_as_many_hosts_as_it_has_connections(
    fleet_size, connections, offset
):
    users = sum(
        caps.in_subset(host_index, offset, fleet_size, connections)
        for host_index in range(fleet_size)
    )
    assert users == min(fleet_size, connections)
