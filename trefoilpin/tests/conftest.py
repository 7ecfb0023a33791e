"""Configuration of pytest: green sockets, golden files and known failures."""

import pathlib

import eventlet
import pytest

eventlet.monkey_patch()

# Fixtures of several modules.
from trefoilpin.tests.scripted_upstreams import (  # noqa: E402, F401
    kept_upstream,
    upstream,
)

KNOWN_RED = pathlib.Path(__file__).parent.parent.parent / "KNOWN-RED.txt"


def pytest_addoption(parser):
    parser.addoption(
        "--rewrite-golden",
        action="store_true",
        help="overwrite golden files with the output of the tests",
    )


def read_known_failures():
    """Return the entries of ``KNOWN-RED.txt`` by test id."""
    entry_by_test_id = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line and not line.startswith("#"):
            entry_by_test_id[line.partition("|")[0].strip()] = line
    return entry_by_test_id


def pytest_collection_modifyitems(items):
    entry_by_test_id = read_known_failures()
    for item in items:
        line = entry_by_test_id.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter):
    for outcome, text in (
        ("xfailed", "known red"),
        ("xpassed", "known red, now green"),
    ):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f"{text}: {report.wasxfail}")
