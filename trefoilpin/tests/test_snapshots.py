"""Hosts that get their first configuration from other hosts or from the store."""

import pytest

from trefoilpin import codecs, configurations, snapshots
from trefoilpin.fakes import fleets, loops
from trefoilpin.records import ClientAccount
from trefoilpin.tests.test_tickets import Fleet

OBJECTS = 2 * snapshots.OBJECTS_PER_PART + 10


@pytest.fixture
def fleet():
    """Three hosts with a configuration of several parts in force."""
    fleet = Fleet(3)
    versions = [configurations.ObjectVersion("account", "gone", 3, None)]
    for number in range(OBJECTS):
        account = ClientAccount(f"a{number}", 1.0, 1.0)
        version = configurations.ObjectVersion("account", account.id, 1, account)
        versions.append(version)
    for host in fleet.host_by_name.values():
        host.kernel.find("configurations").restore(versions, 3)
    return fleet


def start_host(fleet, store=None):
    network = loops.create_network(fleet.state)
    kernel = fleets.create_host(
        network, store or fleet.store, "fresh", "a", "fresh", ["peer-h000"]
    )
    fleet.host_by_name["fresh"] = fleets.LoopHost(kernel, "peer-fresh")
    return kernel


def accounts(kernel):
    return dict(kernel.find("configurations").accounts_by_id)


def test_host_loads_configuration_from_others_while_the_store_is_down(fleet):
    fleet.faults.down = True
    kernel = start_host(fleet)
    fleet.run(5.0)
    assert accounts(kernel) == accounts(fleet.host_by_name["h000"].kernel)
    assert kernel.find("configurations").last_ticket_number("account", "gone") == 3
    assert kernel.find("configurations").head() == 3


def test_host_loads_configuration_from_the_snapshot_in_the_store(fleet):
    source = fleet.host_by_name["h000"].kernel
    source.find("configurations").restore([], snapshots.TICKETS_PER_SNAPSHOT)
    for host in fleet.host_by_name.values():
        host.kernel.find("configurations").restore([], snapshots.TICKETS_PER_SNAPSHOT)
    fleet.run(2.0)
    written = [
        host.kernel.find("snapshots").write_once()
        for host in fleet.host_by_name.values()
    ]
    assert written.count(True) == 1
    rows = fleet.objects.state.row_by_path
    parts = [path for path in rows if path.startswith("snapshots/")]
    assert len(parts) == 1 + 3
    kernel = start_host(fleet)
    fleet.state.loss_share = 1.0
    assert kernel.find("snapshots").load_once()
    assert accounts(kernel) == accounts(source)


@pytest.mark.parametrize("value", [None, 7, {"head": "x"}, {"digests": [1]}, []])
def test_malformed_snapshot_index_is_ignored(fleet, value):
    fleet.objects.put(snapshots.LATEST_PATH, value, 0)
    kernel = start_host(fleet)
    fleet.state.loss_share = 1.0
    assert not kernel.find("snapshots").load_once()
    assert kernel.find("configurations").head() == 0


def test_damaged_part_is_refused():
    account = ClientAccount("a", 1.0, 1.0)
    version = configurations.ObjectVersion("account", "a", 1, account)
    text, digest = codecs.encode_versions([version])
    assert codecs.decode_versions(text, digest).unwrap() == (tuple(version),)
    damaged = text.replace("1.0", "2.0")
    assert "digest" in str(codecs.decode_versions(damaged, digest).failure())


def test_parts_stay_below_the_size_limit(fleet, monkeypatch):
    monkeypatch.setattr(snapshots, "MAX_PART_BYTES", 20_000)
    kernel = fleet.host_by_name["h000"].kernel
    for host in fleet.host_by_name.values():
        host.kernel.find("configurations").restore([], snapshots.TICKETS_PER_SNAPSHOT)
    fleet.run(2.0)
    for host in fleet.host_by_name.values():
        host.kernel.find("snapshots").write_once()
    rows = fleet.objects.state.row_by_path
    sizes = [
        len(row["value"])
        for path, row in rows.items()
        if path.startswith("snapshots/") and path != snapshots.LATEST_PATH
    ]
    assert sizes and max(sizes) <= 20_000
    assert kernel.find("configurations").head() == snapshots.TICKETS_PER_SNAPSHOT
