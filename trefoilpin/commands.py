"""The command line; every command is a plain function.

Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown.
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
from trefoilpin.fakes import stores as fake_stores
from trefoilpin.fakes import upstreams as fake_upstreams

__all__ = ["COMMANDS", "run"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
CALL_TIMEOUT_SECONDS = 30.0
DEFAULT_ADMIN = "127.0.0.1:7070"
TEXT_ARGUMENTS = ("address", "admin", "caller", "file", "key", "name", "settings")
DEFAULT_CALLER = "127.0.0.1:8080"


def stop(code, message):
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    sys.exit(code)


def request(method, address, path, body=None, headers=None):
    """Call a host; return status and decoded body, or exit with what is known."""
    try:
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=headers,
            timeout=CALL_TIMEOUT_SECONDS,
            retries=False,
        )
        return response.status, json.loads(response.data)
    except urllib3.exceptions.LocationParseError:
        stop(EXIT_USAGE, f"{address!r} is not an address such as {DEFAULT_ADMIN}")
    except urllib3.exceptions.NewConnectionError:
        stop(EXIT_REFUSED, f"no connection to {address}; nothing was sent")
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        stop(EXIT_UNKNOWN, f"no answer from {address}: {type(error).__name__}")


def call(method, address, path, body=None):
    """Call a host's operator address; exit unless it answered 200."""
    status, row = request(method, address, path, body)
    if status == 200:
        return row
    outcome = row.get("outcome", "refused")
    detail = row.get("detail", f"status {status}")
    if "next_number" in row:
        detail += f" (next number: {row['next_number']})"
    if outcome == "unknown":
        hint = "; send the same ticket again" if method == "POST" else ""
        stop(EXIT_UNKNOWN, f"{outcome}: {detail}{hint}")
    stop(EXIT_REFUSED, f"{outcome}: {detail}")


def show(row, as_json):
    """Print an object as JSON, or as a table of two columns and one for each list."""
    if as_json:
        print(json.dumps(row))
        return
    plain, tables = {}, {}
    for name, value in row.items():
        is_table = isinstance(value, list) and value and isinstance(value[0], dict)
        (tables if is_table else plain)[name] = value
    width = max((len(name) for name in plain), default=0)
    for name, value in plain.items():
        text = value if isinstance(value, (str, int, float)) else json.dumps(value)
        print(f"{name:<{width}}  {text}")
    for rows in tables.values():
        show_table(rows)


def show_table(rows):
    """Print objects with the same fields, one a line."""
    names = list(rows[0])
    lines = [names]
    for row in rows:
        lines.append([str(row.get(name, "-")) for name in names])
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths)]
        print("  ".join(cells).rstrip())


def load_settings(path):
    """Load a settings file, or exit with every error in it."""
    loaded = settings.load(path)
    if isinstance(loaded, Failure):
        stop(EXIT_USAGE, "\n".join(str(error) for error in loaded.failure()))
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
        stop(EXIT_USAGE, f"{file}: {error.strerror}")
    show(call("POST", admin, "/tickets", body), json)


def show_ticket(number, admin=DEFAULT_ADMIN, json=False):
    """Show an accepted ticket."""
    show(call("GET", admin, f"/tickets/{number}"), json)


def show_next_ticket(admin=DEFAULT_ADMIN, json=False):
    """Show the number that the next ticket must have."""
    show(call("GET", admin, "/tickets/next"), json)


def show_status(admin=DEFAULT_ADMIN, json=False):
    """Show what is in force on a host, and the fleet as it sees it."""
    show(call("GET", admin, "/status"), json)


def show_upstreams(admin=DEFAULT_ADMIN, json=False):
    """Show every upstream, and why it is out if it is."""
    show(call("GET", admin, "/upstreams"), json)


def show_hosts(caller=DEFAULT_CALLER, key=None, json=False):
    """Show which hosts a caller is to use."""
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    status, row = request("GET", caller, "/v1/hosts", headers=headers)
    if status != 200:
        stop(EXIT_REFUSED, f"{row.get('reason')}: {row.get('detail')}")
    show(row, json)


def check_settings(file):
    """Check a settings file and name every error."""
    load_settings(file)
    print(f"{file}: valid")


def show_settings(json=False):
    """Show every setting with its default."""
    if json:
        show({setting.name: setting.default for setting in settings.DEFAULTS}, json)
        return
    print(settings.render(), end="")


def explain_request(name, file="-"):
    """Show what a log tells of the request with an id; standard input by default."""
    try:
        with open("/dev/stdin" if file == "-" else file) as source:
            shown = explanations.explain(source, name)
    except OSError as error:
        stop(EXIT_USAGE, f"{file}: {error.strerror}")
    if not shown:
        stop(EXIT_REFUSED, f"no line of the log names the request {name!r}")
    print("\n".join(shown))


def serve_application(address, application):
    """Serve a stand-in."""
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
    """Run the stand-in for the object store."""
    objects = fake_stores.create_objects(random.Random(seed))
    serve_application(address, fake_stores.create_application(objects))


def run_fake_upstream(
    address, name, slots=6, service_seconds=0.005, cold_seconds=0.0, seed=0
):
    """Run the stand-in for an upstream."""
    state = fake_upstreams.UpstreamState(
        name,
        slots,
        service_seconds,
        cold_seconds,
        random.Random(f"{seed}:{name}"),
        clocks.boot_seconds,
    )
    serve_application(address, fake_upstreams.create_application(state))


class Action(NamedTuple):
    """A command that runs once all of its arguments were understood."""

    function: Callable
    arguments: tuple
    options: dict


def deferred(function):
    """Return a command with the same arguments that gives an ``Action``."""

    @functools.wraps(function)
    def command(*arguments, **options):
        return Action(function, arguments, options)

    return SetParseFns(**{name: str for name in TEXT_ARGUMENTS})(command)


COMMANDS = {
    "daemon": deferred(run_daemon),
    "ticket": {
        "submit": deferred(submit_ticket),
        "show": deferred(show_ticket),
        "next": deferred(show_next_ticket),
    },
    "status": deferred(show_status),
    "hosts": deferred(show_hosts),
    "upstreams": deferred(show_upstreams),
    "explain": deferred(explain_request),
    "settings": {
        "check": deferred(check_settings),
        "show": deferred(show_settings),
    },
    "fake": {
        "store": deferred(run_fake_store),
        "upstream": deferred(run_fake_upstream),
    },
}


def run(arguments):
    """Run the command line.

    Parameters
    ----------
    arguments : list of str
        Without the program's name. Nothing runs unless all are understood.
    """
    found = fire.Fire(
        COMMANDS, command=arguments, name="trefoilpin", serialize=lambda result: None
    )
    if not isinstance(found, Action):
        stop(EXIT_USAGE, "a command is missing; see trefoilpin --help")
    found.function(*found.arguments, **found.options)
