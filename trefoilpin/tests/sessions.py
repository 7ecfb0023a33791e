"""Sessions with real sockets in one process, recorded as text for golden files.

Values that differ between runs (times, ports, ids and digests) are replaced by
placeholders.
"""

import json
import logging
import pathlib
import random
import re

import eventlet
import eventlet.wsgi
import urllib3

from trefoilpin import clocks, codecs, daemons, settings
from trefoilpin.fakes import stores as fake_stores
from trefoilpin.fakes import upstreams as fake_upstreams
from trefoilpin.fakes.free_ports import find_free_ports
from trefoilpin.kernel import create_kernel

logging.getLogger("trefoilpin").setLevel(logging.INFO)

WAIT_SECONDS = 10.0
GOLDEN = pathlib.Path(__file__).parent / "golden"
SECRET = "a secret of the fleet's own"
PLACEHOLDERS = (
    (re.compile(r"^\d+\.\d{3} ", re.M), "TIME "),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"milliseconds=[\d.]+"), "milliseconds=N"),
    (re.compile(r"\b[0-9a-f]{16}\b"), "ID"),
    (re.compile(r"\b[0-9a-f]{64}\b"), "DIGEST"),
)


class Session:
    """Tasks, kernels and stand-ins of a session, and its recorded lines."""

    def __init__(self, seed):
        self.seed = seed
        self.tasks = []
        self.lines = []
        self.log_lines = []
        self.kernels = []
        self.store_address = ""
        self.objects = None
        self.upstream_states = {}


def listen(session, application):
    """Serve an application on a free port; return the address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    arguments = {"log_output": False, "debug": False}
    task = eventlet.spawn(eventlet.wsgi.server, listener, application, **arguments)
    session.tasks.append(task)
    return f"127.0.0.1:{listener.getsockname()[1]}"


def free_address():
    """Return an address with a free port."""
    (port,) = find_free_ports(("127.0.0.1",), 1)
    return f"127.0.0.1:{port}"


def start_store(session):
    """Start the store stand-in."""
    session.objects = fake_stores.create_objects(random.Random(session.seed))
    application = fake_stores.create_application(session.objects)
    session.store_address = listen(session, application)


def start_upstream(session, name, slots=6):
    """Start an upstream stand-in; return its address."""
    state = fake_upstreams.UpstreamState(
        name, slots, 0.0, 0.0, random.Random(session.seed), clocks.boot_seconds
    )
    session.upstream_states[name] = state
    return listen(session, fake_upstreams.create_application(state))


def start_host(session, name="h1", zone="a"):
    """Start a host; return its settings."""
    sections = {setting.name.partition(".")[0] for setting in settings.DEFAULTS}
    tables = {
        "host": {
            "name": name,
            "zone": zone,
            "caller_address": free_address(),
            "peer_address": free_address(),
            "admin_address": free_address(),
        },
        "store": {"addresses": [session.store_address]},
        "peers": {"secret": SECRET},
    }
    tables = {key: table for key, table in tables.items() if key in sections}
    values = settings.check(tables).unwrap()
    clock = clocks.system_clock(eventlet.sleep)

    def spawn(function, *arguments):
        session.tasks.append(eventlet.spawn(function, *arguments))

    kernel = create_kernel(clock, spawn, random.Random(session.seed))
    daemons.assemble(values, kernel, session.log_lines.append)
    kernel.start()
    session.kernels.append(kernel)
    return values


def stop(session):
    """Stop the kernels and tasks of a session."""
    for kernel in session.kernels:
        kernel.stop()
    for task in session.tasks:
        task.kill()


def call(session, address, method, path, headers=None, body=None):
    """Send one request; record it with its answer and the log lines."""
    response = urllib3.request(
        method,
        f"http://{address}{path}",
        headers=headers or {},
        body=body,
        retries=False,
        timeout=10,
    )
    session.lines.append(f"> {method} {path}\n< {response.status}\n")
    for name in ("Retry-After", "Content-Type"):
        if name in response.headers:
            session.lines.append(f"< {name}: {response.headers[name]}\n")
    session.lines.append("< " + response.data.decode().rstrip("\n") + "\n")
    for kernel in session.kernels:
        kernel.find("events").flush()
    session.lines += session.log_lines
    session.log_lines.clear()
    return response


def wait_for_line(session, text):
    """Wait until a log line has a text, so that later lines always follow it."""
    with eventlet.Timeout(WAIT_SECONDS):
        while not any(text in line for line in session.log_lines):
            for kernel in session.kernels:
                kernel.find("events").flush()
            eventlet.sleep(0.001)


def submit(session, values, number, changes):
    """Submit a change ticket; record it with its answer."""
    row = {"number": number, "changes": codecs.encode_changes(changes)}
    body = json.dumps(row).encode()
    return call(session, values["host.admin_address"], "POST", "/tickets", None, body)


def transcript(session, ignored=None):
    """Return the recorded lines, with placeholders for values that differ."""
    text = "".join(session.lines)
    for pattern, replacement in PLACEHOLDERS:
        text = pattern.sub(replacement, text)
    lines = text.splitlines(keepends=True)
    return "".join(line for line in lines if not (ignored and ignored.match(line)))


def compare(session, name, rewrite, ignored=None):
    """Compare a session with its golden file, or rewrite the file.

    Parameters
    ----------
    session : Session
    name : str
    rewrite : bool
    ignored : re.Pattern, optional
        Matches log lines whose order depends on concurrent tasks.
    """
    path = GOLDEN / f"{name}.txt"
    text = transcript(session, ignored)
    if rewrite:
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    assert text == path.read_text()
