"""Callers that keep their connections open, and what they saw."""

import http.client
import json
import time
from typing import NamedTuple

import eventlet
import stand_in_objects

__all__ = ["Sent", "send_requests"]

PATIENCE_SECONDS = 1.5
ADDRESS_SECONDS = 2.0
LOOK_UP_SECONDS = 1.0
PAUSE_SECONDS = 0.06
METHOD_BY_PREFIX = {"/read/": "GET", "/write/": "POST"}


class Sent(NamedTuple):
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        0 when the connection ended without a whole answer.
    is_signed : bool
        True when the answer is an upstream's own.
    is_not_run : bool
        True when the answer says that the request has not run.
    connected : bool
        True when the request could be written.
    """

    request_id: str
    sent_at: float
    finished_at: float
    host: str
    account: str
    prefix: str
    status: int
    is_signed: bool
    is_not_run: bool
    is_right: bool
    connected: bool


class Caller:
    """A caller's connections by host, and the hosts it was told of."""

    def __init__(self, name, zone, hosts, ports, rng):
        self.name = name
        self.zone = zone
        self.hosts = hosts
        self.ports = ports
        self.rng = rng
        self.addresses: list[str] = []
        self.asked_at = float("-inf")
        self.connection_by_address: dict[str, http.client.HTTPConnection] = {}

    def look_up(self):
        """Ask up to three hosts which ones to use, those of the own zone first."""
        self.asked_at = time.monotonic()
        order = sorted(
            self.hosts, key=lambda host: (host.zone != self.zone, self.rng.random())
        )
        for host in order[:3]:
            connection = http.client.HTTPConnection(
                host.ip, self.ports.directory, timeout=LOOK_UP_SECONDS
            )
            try:
                connection.request("GET", f"/resolve?name=h&zone={self.zone}&region=r")
                answer = connection.getresponse()
                row = json.loads(answer.read())
            except (OSError, http.client.HTTPException, ValueError):
                # That host is down or stopping; the next one is asked.
                continue
            finally:
                connection.close()
            if answer.status == 200:
                self.addresses = row["addresses"]
                return

    def pick_address(self):
        """Return an address to use, or None when none is known."""
        if time.monotonic() - self.asked_at > ADDRESS_SECONDS or not self.addresses:
            self.look_up()
        return self.rng.choice(self.addresses) if self.addresses else None

    def connection(self, address):
        """Return the open connection to a host, or a new one."""
        found = self.connection_by_address.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            found = http.client.HTTPConnection(host, int(port), timeout=3.0)
            self.connection_by_address[address] = found
        return found

    def drop(self, address):
        """Close a connection."""
        self.connection_by_address.pop(address).close()


def send_request(caller, address, account, prefix, request_id, expected_body):
    """Send one request and return what came of it."""
    connection = caller.connection(address)
    headers = stand_in_objects.request_headers(
        request_id, PATIENCE_SECONDS, account.key
    )
    headers["Host"] = "h.example"
    method = METHOD_BY_PREFIX[prefix]
    body = request_id.encode() if method == "POST" else None
    sent_at, connected = time.monotonic(), False
    status, signed, not_run, right = 0, False, False, True
    try:
        if connection.sock is None:
            connection.connect()
        connection.request(method, prefix + request_id, body, headers)
        connected = True
        answer = connection.getresponse()
        data = answer.read()
        status = answer.status
        signed = stand_in_objects.response_signature(answer.headers) is not None
        not_run = stand_in_objects.states_not_run(status, answer.headers)
        if status == 200:
            right = signed and data == expected_body(request_id)
        if answer.will_close:
            caller.drop(address)
    except (OSError, http.client.HTTPException):
        # The record says so with status 0.
        caller.drop(address)
    finished_at = time.monotonic()
    host = address.rpartition(":")[0]
    return Sent(
        request_id,
        sent_at,
        finished_at,
        host,
        account.name,
        prefix,
        status,
        signed,
        not_run,
        right,
        connected,
    )


def send_requests(caller, environment, expected_body, records, is_over):
    """Send one request after another, each with an id of its own."""
    count = 0
    while not is_over():
        address = caller.pick_address()
        if address is None:
            eventlet.sleep(PAUSE_SECONDS)
            continue
        account = caller.rng.choice(environment.accounts)
        prefix = caller.rng.choice(tuple(METHOD_BY_PREFIX))
        count += 1
        request_id = f"{caller.name}.{count}"
        records.append(
            send_request(caller, address, account, prefix, request_id, expected_body)
        )
        if records[-1].status == 0:
            caller.asked_at = float("-inf")
        eventlet.sleep(PAUSE_SECONDS * 2 * caller.rng.random())
