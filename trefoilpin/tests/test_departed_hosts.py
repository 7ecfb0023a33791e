"""Hosts that left by plan count as running for a while, crashed ones do not."""

from trefoilpin import departed_hosts
from trefoilpin.fakes import fleets, loops
from trefoilpin.records import Host

HOSTS = [Host(name, name, "a", "default", name, name) for name in ("h1", "h2", "h3")]


def create():
    state = loops.LoopState(1)
    kernel = loops.create_host_kernel(state)
    view = fleets.FleetView(HOSTS[0], HOSTS)
    kernel.register("memberships", fleets.create_memberships(view))
    return state, view, departed_hosts.create(kernel, gone_seconds=10.0)


def depart(view, incarnation):
    del view.host_by_incarnation[incarnation]
    for function in view.subscribers:
        function()


def test_host_that_left_by_plan_runs_for_a_while():
    state, view, service = create()
    view.successor_by_incarnation["h2"] = "h3"
    depart(view, "h2")
    assert service.find("h2") == HOSTS[1] and service.is_running("h2")
    state.now += departed_hosts.MAX_STOP_SECONDS + 1
    assert service.find("h2") == HOSTS[1] and not service.is_running("h2")
    state.now += departed_hosts.RETENTION_SECONDS
    depart(view, "h3")
    assert service.find("h2") is None


def test_crashed_and_unknown_hosts_do_not_run():
    _, view, service = create()
    view.absent.add("h2")
    assert not service.is_running("h2") and service.is_running("h1")
    depart(view, "h3")
    assert not service.is_running("h3") and not service.is_running("never-seen")
