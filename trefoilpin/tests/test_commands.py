"""Command line interface: output and exit codes."""

import json

import eventlet
import pytest

from trefoilpin import commands
from trefoilpin.records import Upstream
from trefoilpin.tests import sessions
from trefoilpin.tests.test_sessions import base_changes


@pytest.fixture(scope="module")
def host():
    session = sessions.Session(seed=1)
    sessions.start_store(session)
    address = sessions.start_upstream(session, "u1")
    values = sessions.start_host(session)
    changes = base_changes((Upstream("u1", address, "a", 6),))
    sessions.submit(session, values, 1, changes)
    yield values
    sessions.stop(session)


def run(capsys, *arguments):
    """Run a command; return its exit code and what it printed."""
    capsys.readouterr()
    try:
        commands.run(list(arguments))
        code = 0
    except SystemExit as exited:
        code = exited.code
    return code, capsys.readouterr().out


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("nosuch",),
        ("ticket",),
        ("ticket", "submit"),
        ("ticket", "submit", "/nowhere.json"),
        ("status", "--nosuch=1"),
        ("status", "--admin=a:b:c"),
        ("settings", "check", "/nowhere.toml"),
    ],
)
def test_invalid_usage_exits_with_2(capsys, arguments):
    assert run(capsys, *arguments)[0] == 2


def test_nothing_runs_when_an_argument_is_unknown(capsys, host, tmp_path):
    file = tmp_path / "ticket.json"
    change = {"kind": "zone", "id": "z", "state": {"id": "z", "region": "r"}}
    file.write_text(json.dumps({"number": 2, "changes": [change]}))
    admin = f"--admin={host['host.admin_address']}"
    arguments = ("ticket", "submit", str(file), admin)
    assert run(capsys, *arguments, "--force", "extra")[0] == 2
    code, out = run(capsys, "ticket", "next", admin, "--json")
    assert (code, json.loads(out)["next_number"]) == (0, 2)
    assert run(capsys, *arguments)[0] == 0
    file.write_text(file.read_text().replace('"r"', '"other"'))
    assert run(capsys, *arguments)[0] == 1


def test_host_is_shown_as_table_and_as_json(capsys, host):
    admin = f"--admin={host['host.admin_address']}"
    code, out = run(capsys, "status", admin, "--json")
    row = json.loads(out)
    assert (code, row["current"], row["stopping"]) == (0, True, False)
    assert [host_row["host"] for host_row in row["hosts"]] == ["h1"]
    assert "caller_address" in run(capsys, "status", admin)[1]
    code, out = run(capsys, "upstreams", admin, "--json")
    assert json.loads(out)["upstreams"][0]["upstream"] == "u1"
    assert run(capsys, "ticket", "show", "99", admin)[0] == 1


def test_hosts_command_authenticates_as_a_caller(capsys, host):
    caller = f"--caller={host['host.caller_address']}"
    code, out = run(capsys, "hosts", caller, "--key=k1.secret", "--json")
    row = json.loads(out)
    assert (code, row["hosts"][0]["zone"]) == (0, "a")
    assert run(capsys, "hosts", caller, "--key=k1.wrong")[0] == 1


def test_missing_response_is_an_unknown_outcome(capsys, tmp_path):
    listener = eventlet.listen(("127.0.0.1", 0))
    file = tmp_path / "ticket.json"
    file.write_text("{}")

    def accept():
        listener.accept()[0].close()

    task = eventlet.spawn(accept)
    admin = f"--admin=127.0.0.1:{listener.getsockname()[1]}"
    assert run(capsys, "ticket", "submit", str(file), admin)[0] == 3
    task.kill()
    listener.close()
    assert run(capsys, "ticket", "submit", str(file), admin)[0] == 1
