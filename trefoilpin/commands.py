"""Command line interface; every command is a plain function.

Exit codes: 0 success, 1 refused, 2 usage error, 3 outcome unknown.
"""

import functools
import json
import logging
import random
import sys
from typing import Callable, NamedTuple

import eventlet
import eventlet.wsgi
import fire
import urllib3
from fire.decorators import SetParseFns
from returns.result import Failure

from trefoilpin import clocks, daemons, explanations, settings
from trefoilpin.bounded_reads import read_body
from trefoilpin.fakes import stores as fake_stores
from trefoilpin.fakes import upstreams as fake_upstreams
from trefoilpin.strict_responses import create_pool_manager

__all__ = ["COMMANDS", "run"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
CALL_TIMEOUT_SECONDS = 30.0
# The state of a whole fleet, or an answer to a caller.
MAX_ANSWER_BYTES = 67_108_864
DEFAULT_ADMIN = "127.0.0.1:7070"
STRING_ARGUMENTS = ("address", "admin", "caller", "file", "key", "name", "settings")
DEFAULT_CALLER = "127.0.0.1:8080"


def exit_with(code, message):
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    sys.exit(code)


def request(method, address, path, body=None, headers=None):
    """Send a request to a host; return status and decoded body, or exit."""
    try:
        response = create_pool_manager(retries=False).request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=headers,
            timeout=CALL_TIMEOUT_SECONDS,
            preload_content=False,
        )
        data = read_body(response, MAX_ANSWER_BYTES)
        if isinstance(data, Failure):
            exit_with(EXIT_UNKNOWN, f"no valid response: {data.failure()}")
        return response.status, json.loads(data.unwrap())
    except urllib3.exceptions.LocationParseError:
        exit_with(
            EXIT_USAGE, f"{address!r} is not a valid address such as {DEFAULT_ADMIN}"
        )
    except urllib3.exceptions.NewConnectionError:
        exit_with(EXIT_REFUSED, f"could not connect to {address}; nothing was sent")
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        exit_with(
            EXIT_UNKNOWN, f"no valid response from {address}: {type(error).__name__}"
        )


def call(method, address, path, body=None):
    """Send a request to a host's operator address; exit unless the status is 200."""
    status, row = request(method, address, path, body)
    if status == 200:
        return row
    outcome = row.get("outcome", "refused")
    detail = row.get("detail", f"status {status}")
    if "next_number" in row:
        detail += f" (next number: {row['next_number']})"
    if outcome == "unknown":
        hint = "; send the same ticket again" if method == "POST" else ""
        exit_with(EXIT_UNKNOWN, f"{outcome}: {detail}{hint}")
    exit_with(EXIT_REFUSED, f"{outcome}: {detail}")


def show(row, as_json):
    """Print an object as JSON, or as a two-column table and a table for each list."""
    if as_json:
        print(json.dumps(row))
        return
    simple, tables = {}, {}
    for name, value in row.items():
        is_table = isinstance(value, list) and value and isinstance(value[0], dict)
        (tables if is_table else simple)[name] = value
    width = max((len(name) for name in simple), default=0)
    for name, value in simple.items():
        text = value if isinstance(value, (str, int, float)) else json.dumps(value)
        print(f"{name:<{width}}  {text}")
    for rows in tables.values():
        show_table(rows)


def show_table(rows):
    """Print objects with the same fields as a table."""
    names = list(rows[0])
    lines = [names]
    for row in rows:
        lines.append([str(row.get(name, "-")) for name in names])
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths)]
        print("  ".join(cells).rstrip())


def load_settings(path):
    """Load a settings file, or print all its errors and exit."""
    loaded = settings.load(path)
    if isinstance(loaded, Failure):
        exit_with(EXIT_USAGE, "\n".join(str(error) for error in loaded.failure()))
    return loaded.unwrap()


def run_daemon(settings):
    """Run one host's daemon."""
    daemons.run(load_settings(settings))


def submit_ticket(file, admin=DEFAULT_ADMIN, json=False):
    """Submit the change ticket in a JSON file."""
    try:
        with open(file, "rb") as source:
            body = source.read()
    except OSError as error:
        exit_with(EXIT_USAGE, f"{file}: {error.strerror}")
    show(call("POST", admin, "/tickets", body), json)


def show_ticket(number, admin=DEFAULT_ADMIN, json=False):
    """Show an accepted ticket."""
    show(call("GET", admin, f"/tickets/{number}"), json)


def show_next_ticket(admin=DEFAULT_ADMIN, json=False):
    """Show the number that the next ticket must have."""
    show(call("GET", admin, "/tickets/next"), json)


def show_status(admin=DEFAULT_ADMIN, json=False):
    """Show the configuration in force on a host and its view of the fleet."""
    show(call("GET", admin, "/status"), json)


def show_upstreams(admin=DEFAULT_ADMIN, json=False):
    """Show every upstream, and why it is not in service if so."""
    show(call("GET", admin, "/upstreams"), json)


def show_hosts(caller=DEFAULT_CALLER, key=None, json=False):
    """Show the hosts that a caller should use."""
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    status, row = request("GET", caller, "/v1/hosts", headers=headers)
    if status != 200:
        exit_with(EXIT_REFUSED, f"{row.get('reason')}: {row.get('detail')}")
    show(row, json)


def check_settings(file):
    """Validate a settings file and print all its errors."""
    load_settings(file)
    print(f"{file}: valid")


def show_settings(json=False):
    """Show every setting with its default."""
    if json:
        show({setting.name: setting.default for setting in settings.DEFAULTS}, json)
        return
    print(settings.render(), end="")


def explain_request(name, file="-"):
    """Explain the outcome of a request from a log file, or from standard input."""
    try:
        with open("/dev/stdin" if file == "-" else file) as source:
            shown = explanations.explain(source, name)
    except OSError as error:
        exit_with(EXIT_USAGE, f"{file}: {error.strerror}")
    if not shown:
        exit_with(EXIT_REFUSED, f"no log line found for request {name!r}")
    print("\n".join(shown))


def serve_fake(address, application):
    """Serve the WSGI application of a fake without logging its requests."""
    host, _, port = address.rpartition(":")
    listener = eventlet.listen((host, int(port)), backlog=1024)
    logger = logging.getLogger("trefoilpin.fakes")
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    eventlet.wsgi.server(
        listener,
        application,
        log=logger,
        log_output=False,
        max_size=10_000,
        debug=False,
    )


def run_fake_store(address, seed=0):
    """Run a fake of the object store."""
    objects = fake_stores.create_objects(random.Random(seed))
    serve_fake(address, fake_stores.create_application(objects))


def run_fake_upstream(
    address, name, slots=6, service_seconds=0.005, cold_seconds=0.0, seed=0
):
    """Run a fake upstream."""
    state = fake_upstreams.UpstreamState(
        name,
        slots,
        service_seconds,
        cold_seconds,
        random.Random(f"{seed}:{name}"),
        clocks.boot_seconds,
    )
    serve_fake(address, fake_upstreams.create_application(state))


class Action(NamedTuple):
    """A command with its parsed arguments, not executed yet."""

    function: Callable
    arguments: tuple
    options: dict


def defer(function):
    """Wrap a command to return an ``Action`` in place of running.

    Fire calls a function before it has seen all arguments, so a command would
    otherwise run in spite of an unknown argument.
    """

    @functools.wraps(function)
    def command(*arguments, **options):
        return Action(function, arguments, options)

    return SetParseFns(**{name: str for name in STRING_ARGUMENTS})(command)


COMMANDS = {
    "daemon": defer(run_daemon),
    "ticket": {
        "submit": defer(submit_ticket),
        "show": defer(show_ticket),
        "next": defer(show_next_ticket),
    },
    "status": defer(show_status),
    "hosts": defer(show_hosts),
    "upstreams": defer(show_upstreams),
    "explain": defer(explain_request),
    "settings": {
        "check": defer(check_settings),
        "show": defer(show_settings),
    },
    "fake": {
        "store": defer(run_fake_store),
        "upstream": defer(run_fake_upstream),
    },
}


def run(arguments):
    """Run the command line.

    Parameters
    ----------
    arguments : list of str
        Without the program's name. Nothing runs unless all of them are valid.
    """
    action = fire.Fire(
        COMMANDS, command=arguments, name="trefoilpin", serialize=lambda result: None
    )
    if not isinstance(action, Action):
        exit_with(EXIT_USAGE, "missing command; see trefoilpin --help")
    action.function(*action.arguments, **action.options)
