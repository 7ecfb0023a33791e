"""Membership: bounds on ages, majorities, successors and the roster in the store."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import memberships
from trefoilpin.fakes import fleets, loops
from trefoilpin.rosters import MembershipState, encode_ages, merge_ages, update_order

FRESH = memberships.MAX_FRESH_AGE_SECONDS


def create_fleet(count, seed=1):
    """Return the loop's state, kernels by name and the store's faults."""
    state = loops.LoopState(seed)
    network = loops.create_network(state)
    store, faults, _ = loops.create_store(state)
    kernel_by_name = {}
    for number in range(count):
        name = f"h{number}"
        kernel = fleets.create_host(network, store, name, "abc"[number % 3])
        kernel_by_name[name] = kernel
    for kernel in kernel_by_name.values():
        enroll(kernel)
    run_rounds(state, kernel_by_name, 10)
    return state, network, kernel_by_name, (store, faults)


def enroll(kernel):
    """Renew the membership, and report the head in place of the ticket task."""
    service = kernel.find("memberships")
    service.renew_once()
    service.report_head(kernel.find("configurations").head(), kernel.clock.now())


def run_rounds(state, kernel_by_name, rounds, seconds=0.4):
    """Have every running host pull once in each round."""
    for _ in range(rounds):
        state.now += seconds
        for name, kernel in kernel_by_name.items():
            address = f"peer-{name}"
            if address in state.dead or address in state.frozen:
                continue
            kernel.find("memberships").renew_once()
            kernel.find("memberships").pull_once()
            kernel.find("memberships").is_current()


def view(kernel):
    return kernel.find("memberships")


def names(kernel):
    return {host.name for host in view(kernel).live()}


def test_every_host_learns_of_every_other():
    _, _, kernel_by_name, _ = create_fleet(7)
    for kernel in kernel_by_name.values():
        assert names(kernel) == set(kernel_by_name)
        assert view(kernel).is_current() and view(kernel).has_majority()


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 2**32), st.floats(0, 0.6))
def test_reported_age_is_never_below_the_actual_age(seed, loss):
    state, _, kernel_by_name, _ = create_fleet(6, seed)
    state.loss_share = loss
    frozen_at = state.now
    state.frozen = {"peer-h1"}
    for _ in range(12):
        run_rounds(state, kernel_by_name, 1, state.rng.uniform(0.1, 1.0))
        actual_age = state.now - frozen_at
        for name, kernel in kernel_by_name.items():
            if name != "h1":
                assert view(kernel).age("h1") >= actual_age
    assert "h1" not in names(kernel_by_name["h0"]) or actual_age <= 8.0


def test_ages_of_a_late_reply_count_from_the_start_of_the_pull():
    own, other = [fleets.Host(name, name, "a", "r", "", "") for name in "ab"]
    state = MembershipState(own)
    state.host_by_incarnation[other.incarnation] = other
    update_order(state)
    source = MembershipState(other)
    source.caught_up = True
    source.host_by_incarnation[own.incarnation] = own
    update_order(source)
    began_at = 100.0
    ages = encode_ages(source, 107.0)
    merge_ages(state, state.order, ages, began_at)
    assert 107.5 - state.last_alive_at["b"] >= 7.5


def test_partitioned_minority_is_not_current_while_the_store_is_down():
    state, _, kernel_by_name, (_, faults) = create_fleet(5)
    faults.down = True
    minority = {"peer-h0", "peer-h1"}
    addresses = {f"peer-{name}" for name in kernel_by_name}
    for inside in minority:
        for outside in addresses - minority:
            state.cut_pairs |= {(inside, outside), (outside, inside)}
    run_rounds(state, kernel_by_name, 12)
    for name, kernel in kernel_by_name.items():
        assert view(kernel).is_current() == (f"peer-{name}" not in minority)


def test_connected_fleet_stays_current_while_the_store_is_down():
    state, _, kernel_by_name, (_, faults) = create_fleet(12)
    faults.down = True
    for _ in range(100):
        run_rounds(state, kernel_by_name, 1)
        assert all(view(kernel).is_current() for kernel in kernel_by_name.values())


def test_host_that_lacks_a_known_ticket_is_not_current():
    state, _, kernel_by_name, (_, faults) = create_fleet(5)
    faults.down = True
    run_rounds(state, kernel_by_name, 11)
    view(kernel_by_name["h0"]).report_number(1)
    run_rounds(state, kernel_by_name, 10)
    assert not any(view(kernel).is_current() for kernel in kernel_by_name.values())


def test_resumed_host_is_not_current_before_its_first_pull():
    state, _, kernel_by_name, (_, faults) = create_fleet(3)
    state.now += FRESH + 0.1
    assert not view(kernel_by_name["h0"]).is_current()
    assert not view(kernel_by_name["h0"]).has_majority()


def test_successor_follows_the_chain_and_departed_hosts_stay_removed():
    state, _, kernel_by_name, _ = create_fleet(5)
    view(kernel_by_name["h1"]).leave("h2")
    run_rounds(state, kernel_by_name, 6)
    view(kernel_by_name["h2"]).leave("h3")
    run_rounds(state, kernel_by_name, 6)
    for name in ("h0", "h3", "h4"):
        service = view(kernel_by_name[name])
        assert service.successor("h1") == service.successor("h2") == "h3"
        assert service.successor("h3") is None
        assert len(service.roster()) == 3
        assert names(kernel_by_name[name]) == {"h0", "h3", "h4"}


def test_restarted_host_joins_while_the_store_is_down():
    state, network, kernel_by_name, (store, faults) = create_fleet(4)
    faults.down = True
    run_rounds(state, kernel_by_name, 20)
    view(kernel_by_name["h1"]).leave("h2")
    run_rounds(state, kernel_by_name, 6)
    state.dead.add("peer-h1")
    restarted = fleets.create_host(network, store, "h1", "b", "h1-again", ["peer-h0"])
    assert not view(restarted).is_current() and not view(restarted).has_majority()
    kernel_by_name["h1-again"] = restarted
    del kernel_by_name["h1"]
    run_rounds(state, kernel_by_name, 15)
    for kernel in kernel_by_name.values():
        assert names(kernel) == {"h0", "h1", "h2", "h3"}
        assert len(view(kernel).roster()) == 4
        assert view(kernel).is_current()


def test_two_new_hosts_alone_have_no_majority():
    state = loops.LoopState(1)
    network = loops.create_network(state)
    store, faults, _ = loops.create_store(state)
    faults.down = True
    kernels = {}
    for name, seed in (("h0", "peer-h1"), ("h1", "peer-h0")):
        kernels[name] = fleets.create_host(network, store, name, "a", name, [seed])
    run_rounds(state, kernels, 30)
    assert not any(view(kernel).has_majority() for kernel in kernels.values())
    assert not any(view(kernel).is_current() for kernel in kernels.values())


def test_host_gone_for_long_is_removed_only_by_a_majority():
    state, _, kernel_by_name, _ = create_fleet(4)
    state.dead.add("peer-h3")
    remaining = {name: kernel_by_name[name] for name in ("h0", "h1", "h2")}
    run_rounds(state, remaining, 40, memberships.RECORD_LIFETIME_SECONDS / 30)
    run_rounds(state, remaining, 10)
    for kernel in remaining.values():
        assert len(view(kernel).roster()) == 3
    state.dead |= {"peer-h1", "peer-h2"}
    run_rounds(
        state, {"h0": remaining["h0"]}, 80, memberships.RECORD_LIFETIME_SECONDS / 30
    )
    assert len(view(remaining["h0"]).roster()) == 3
    assert not view(remaining["h0"]).has_majority()


def test_records_of_departed_hosts_are_deleted_from_the_store():
    state, _, kernel_by_name, (store, _) = create_fleet(4)
    view(kernel_by_name["h1"]).leave("h2")
    run_rounds(state, kernel_by_name, 6)
    del kernel_by_name["h1"]
    run_rounds(state, kernel_by_name, 40)
    paths = [stored.path for stored in store.list("roster/").unwrap()]
    assert paths == ["roster/h0", "roster/h2", "roster/h3"]


def test_each_zone_has_a_fixed_number_of_store_watchers():
    _, _, kernel_by_name, _ = create_fleet(12)
    watchers = [
        name for name in kernel_by_name if view(kernel_by_name[name]).is_store_watcher()
    ]
    assert len(watchers) == 3 * memberships.WATCHERS_PER_ZONE
