"""The command line; every command is a plain function.

Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown.
"""

import json
import logging
import random
import sys

import eventlet
import eventlet.wsgi
import urllib3
from returns.result import Failure

from trefoilpin import clocks, daemons, settings
from trefoilpin.fakes import stores as fake_stores
from trefoilpin.fakes import upstreams as fake_upstreams

__all__ = ["COMMANDS"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
CALL_TIMEOUT_SECONDS = 30.0
DEFAULT_ADMIN = "127.0.0.1:7070"


def stop(code, message):
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    sys.exit(code)


def call(method, address, path, body=None):
    """Call a host's operator address; exit unless it answered 200."""
    try:
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            body=body,
            timeout=CALL_TIMEOUT_SECONDS,
            retries=False,
        )
        row = json.loads(response.data)
    except urllib3.exceptions.NewConnectionError:
        stop(EXIT_REFUSED, f"no connection to {address}; nothing was sent")
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        stop(EXIT_UNKNOWN, f"no answer from {address}: {type(error).__name__}")
    if response.status == 200:
        return row
    unknown = row.get("outcome") == "unknown"
    detail = row.get("detail", f"status {response.status}")
    if "next_number" in row:
        detail += f" (next number: {row['next_number']})"
    hint = "; send the same ticket again" if unknown and method == "POST" else ""
    stop(EXIT_UNKNOWN if unknown else EXIT_REFUSED, f"{row['outcome']}: {detail}{hint}")


def show(row, as_json):
    """Print an object as a table of two columns, or as JSON."""
    if as_json:
        print(json.dumps(row))
        return
    width = max((len(name) for name in row), default=0)
    for name, value in row.items():
        text = value if isinstance(value, (str, int, float)) else json.dumps(value)
        print(f"{name:<{width}}  {text}")


def load_settings(path):
    """Load a settings file, or exit with every error in it."""
    loaded = settings.load(path)
    if isinstance(loaded, Failure):
        stop(EXIT_USAGE, "\n".join(str(error) for error in loaded.failure()))
    return loaded.unwrap()


def run_daemon(settings_file):
    """Run one host's daemon."""
    daemons.run(load_settings(settings_file))


def submit_ticket(file, admin=DEFAULT_ADMIN, as_json=False):
    """Submit the change ticket in a JSON file."""
    try:
        with open(file, "rb") as source:
            body = source.read()
    except OSError as error:
        stop(EXIT_USAGE, f"{file}: {error.strerror}")
    show(call("POST", admin, "/tickets", body), as_json)


def show_ticket(number, admin=DEFAULT_ADMIN, as_json=False):
    """Show an accepted ticket."""
    show(call("GET", admin, f"/tickets/{number}"), as_json)


def show_next_ticket(admin=DEFAULT_ADMIN, as_json=False):
    """Show the number that the next ticket must have."""
    show(call("GET", admin, "/tickets/next"), as_json)


def show_status(admin=DEFAULT_ADMIN, as_json=False):
    """Show what is in force on a host."""
    show(call("GET", admin, "/status"), as_json)


def check_settings(file):
    """Check a settings file and name every error."""
    load_settings(file)
    print(f"{file}: valid")


def show_settings(as_json=False):
    """Show every setting with its default."""
    row = {setting.name: setting.default for setting in settings.DEFAULTS}
    if as_json:
        print(json.dumps(row))
        return
    print(settings.render(), end="")


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


COMMANDS = {
    "daemon": lambda settings: run_daemon(settings),
    "ticket": {
        "submit": lambda file, admin=DEFAULT_ADMIN, json=False: submit_ticket(
            file, admin, json
        ),
        "show": lambda number, admin=DEFAULT_ADMIN, json=False: show_ticket(
            number, admin, json
        ),
        "next": lambda admin=DEFAULT_ADMIN, json=False: show_next_ticket(admin, json),
    },
    "status": lambda admin=DEFAULT_ADMIN, json=False: show_status(admin, json),
    "settings": {
        "check": check_settings,
        "show": lambda json=False: show_settings(json),
    },
    "fake": {"store": run_fake_store, "upstream": run_fake_upstream},
}
