"""Callers with persistent connections, which record every request."""

import http.client
import json
import time
from typing import NamedTuple

import eventlet
import stand_in_objects

__all__ = ["Caller", "RequestRecord", "send_one_per_route", "send_requests"]

REQUEST_TIMEOUT_SECONDS = 1.5
ADDRESS_LIFETIME_SECONDS = 2.0
LOOKUP_TIMEOUT_SECONDS = 1.0
MEAN_PAUSE_SECONDS = 0.06
METHOD_BY_PREFIX = {"/read/": "GET", "/write/": "POST"}


class RequestRecord(NamedTuple):
    """A request and its outcome, as seen by the caller.

    Attributes
    ----------
    sent_at, finished_at : float
        Monotonic seconds.
    status : int
        0 when the connection ended without a whole response.
    is_signed : bool
        True when the response carries an upstream's signature.
    is_not_run : bool
        True when the response states that the request was not executed.
    is_correct : bool
        False when a response with status 200 is unsigned or has the wrong body.
    was_written : bool
        True when the request could be written to the connection.
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
    is_correct: bool
    was_written: bool


class Caller:
    """A caller's connections and the addresses that the directory gave it.

    One with a home sends to that host only, whatever the directory says, and keeps each
    connection to it open until the process is gone.
    """

    def __init__(self, name, zone, hosts, ports, rng, home=None):
        self.name = name
        self.zone = zone
        self.hosts = hosts
        self.ports = ports
        self.rng = rng
        self.home = home
        self.pause_seconds = MEAN_PAUSE_SECONDS
        self.kept_sockets: list[tuple] = []
        self.addresses: list[str] = []
        self.refreshed_at = float("-inf")
        self.connection_by_address: dict[str, http.client.HTTPConnection] = {}

    def refresh_addresses(self):
        """Ask the directory of up to three hosts for addresses, own zone first."""
        self.refreshed_at = time.monotonic()
        candidates = sorted(
            self.hosts, key=lambda host: (host.zone != self.zone, self.rng.random())
        )
        for host in candidates[:3]:
            connection = http.client.HTTPConnection(
                host.ip, self.ports.directory, timeout=LOOKUP_TIMEOUT_SECONDS
            )
            try:
                connection.request("GET", f"/resolve?name=h&zone={self.zone}&region=r")
                response = connection.getresponse()
                fields = json.loads(response.read())
            except (OSError, http.client.HTTPException, ValueError):
                # The host is down or stopping; the next one is asked.
                continue
            finally:
                connection.close()
            if response.status == 200:
                self.addresses = fields["addresses"]
                return

    def pick_address(self):
        """Return an address at random, or None when none is known."""
        if self.home is not None:
            return f"{self.home.ip}:{self.ports.callers}"
        if (
            time.monotonic() - self.refreshed_at > ADDRESS_LIFETIME_SECONDS
            or not self.addresses
        ):
            self.refresh_addresses()
        return self.rng.choice(self.addresses) if self.addresses else None

    def connection(self, address):
        """Return the connection to a host; create it when there is none."""
        found = self.connection_by_address.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            found = http.client.HTTPConnection(host, int(port), timeout=3.0)
            self.connection_by_address[address] = found
        return found

    def keep_open(self, sock):
        """Keep a connection open, however it is used, until the process is gone."""
        if self.home is None:
            return
        process_count = len(self.home.process_runs)
        kept_sockets = []
        for count, kept in self.kept_sockets:
            if count == process_count:
                kept_sockets.append((count, kept))
                continue
            kept.close()
        self.kept_sockets = [*kept_sockets, (process_count, sock.dup())]

    def close_connection(self, address):
        """Close and forget the connection to a host."""
        self.connection_by_address.pop(address).close()


def send_request(caller, address, account, prefix, request_id, expected_body):
    """Send one request and return its ``RequestRecord``."""
    connection = caller.connection(address)
    headers = stand_in_objects.request_headers(
        request_id, REQUEST_TIMEOUT_SECONDS, account.key
    )
    headers["Host"] = "h.example"
    method = METHOD_BY_PREFIX[prefix]
    body = request_id.encode() if method == "POST" else None
    sent_at, was_written = time.monotonic(), False
    status, is_signed, is_not_run, is_correct = 0, False, False, True
    try:
        if connection.sock is None:
            connection.connect()
            caller.keep_open(connection.sock)
        connection.request(method, prefix + request_id, body, headers)
        was_written = True
        response = connection.getresponse()
        response_body = response.read()
        status = response.status
        is_signed = stand_in_objects.response_signature(response.headers) is not None
        is_not_run = stand_in_objects.states_not_run(status, response.headers)
        if status == 200:
            is_correct = is_signed and response_body == expected_body(request_id)
        if response.will_close:
            caller.close_connection(address)
    except (OSError, http.client.HTTPException):
        # The record keeps status 0.
        caller.close_connection(address)
    finished_at = time.monotonic()
    host = address.rpartition(":")[0]
    return RequestRecord(
        request_id,
        sent_at,
        finished_at,
        host,
        account.name,
        prefix,
        status,
        is_signed,
        is_not_run,
        is_correct,
        was_written,
    )


def send_requests(caller, environment, expected_body, records, is_stopped):
    """Send requests with unique ids, one after another, until stopped."""
    count = 0
    while not is_stopped():
        address = caller.pick_address()
        if address is None:
            eventlet.sleep(caller.pause_seconds)
            continue
        account = caller.rng.choice(environment.accounts)
        prefix = caller.rng.choice(tuple(METHOD_BY_PREFIX))
        count += 1
        request_id = f"{caller.name}.{count}"
        records.append(
            send_request(caller, address, account, prefix, request_id, expected_body)
        )
        if records[-1].status == 0:
            caller.refreshed_at = float("-inf")
        eventlet.sleep(caller.pause_seconds * 2 * caller.rng.random())


def send_one_per_route(caller, environment, expected_body, records):
    """Send one request on each route to a host, which the directory isn't asked for."""
    address = f"{caller.hosts[0].ip}:{caller.ports.callers}"
    account = environment.accounts[0]
    for prefix in METHOD_BY_PREFIX:
        request_id = f"{caller.name}{prefix.replace('/', '.')}"
        records.append(
            send_request(caller, address, account, prefix, request_id, expected_body)
        )
    if address in caller.connection_by_address:
        caller.close_connection(address)
