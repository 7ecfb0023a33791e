"""Client of the platform's object store, over HTTP and JSON.

Every call ends within its timeout in one of three ways: done, refused (it certainly
had no effect) or unknown. After an unknown outcome of a change the object is read
back once: found as written, the change is done. Calls over the host's budget wait for
their turn or are refused without being sent, and so are calls in the pause that
follows a failure.
"""

import json
from urllib.parse import quote, urlencode

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError, NewConnectionError

from trefoilpin import events
from trefoilpin.services import (
    Store,
    StoreChange,
    StoredObject,
    StoreFailure,
    StoreOutcome,
)

__all__ = ["create"]

MAX_CONNECTIONS = 8
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 8.0
MAX_DOUBLINGS = 10
FAILURES_WITHOUT_PAUSE = 1
WATCH_GRACE_SECONDS = 2.0


class ClientState:
    """Which address comes next, the budget left and the pause after failures."""

    def __init__(self, position, budget):
        self.position = position
        self.budget = budget
        self.filled_at = None
        self.failures = 0
        self.paused_until = float("-inf")


def reserve(state, rate, burst, now):
    """Take one call out of the budget; return the seconds until it may be sent."""
    if state.filled_at is not None:
        state.budget = min(burst, state.budget + (now - state.filled_at) * rate)
    state.filled_at = now
    state.budget -= 1
    return max(0.0, -state.budget / rate)


def refused(detail, missing=False, conflict=False):
    """Return the failure of a call that had no effect."""
    failure = StoreFailure(StoreOutcome.REFUSED, detail, missing, conflict)
    return Failure(failure)


def unknown(detail):
    """Return the failure of a call that may have had its effect."""
    return Failure(StoreFailure(StoreOutcome.UNKNOWN, detail))


def classify(response):
    """Turn a response of the store into its decoded body or a failure."""
    if response.status == 404:
        return refused("no such object", missing=True)
    if response.status in (409, 412):
        return refused("the condition does not hold", conflict=True)
    if response.status == 429:
        return refused("the store refuses calls over its rate")
    if response.status >= 500:
        return unknown(f"the store answered {response.status}")
    if response.status >= 400:
        return refused(f"the store answered {response.status}")
    try:
        return Success(json.loads(response.data or b"null"))
    except ValueError:
        return unknown("the store's answer is not JSON")


def decode_object(row):
    """Return the ``StoredObject`` of a decoded row."""
    return StoredObject(row["path"], row["version"], row["value"])


def decode_change(row):
    """Return the ``StoreChange`` of a decoded row."""
    stored = None if row["deleted"] else decode_object(row)
    return StoreChange(row["path"], row["version"], stored)


def decode_or(decode):
    """Return a function that decodes an answer, or fails when it is not one."""

    def decode_answer(body):
        try:
            return Success(decode(body))
        except (KeyError, TypeError, AttributeError):
            return unknown("the store's answer is malformed")

    return decode_answer


def create(kernel, addresses, timeout, rate, burst):
    """Create the service ``store``.

    Parameters
    ----------
    kernel : Kernel
    addresses : list of str
        ``ip:port`` of the store, tried in turn by successive calls.
    timeout : float
        Seconds a call may take.
    rate, burst : float
        Calls a second, and at once, that this host may send.

    Returns
    -------
    Store
    """
    emit = kernel.find("events").emit
    manager = urllib3.PoolManager(
        num_pools=len(addresses), maxsize=MAX_CONNECTIONS, block=False, retries=False
    )
    now, rng = kernel.clock.now, kernel.rng
    state = ClientState(rng.randrange(len(addresses)), burst)

    def admit(seconds):
        """Wait for a place in the budget; return a failure when there is none."""
        if now() < state.paused_until:
            return refused("the store failed a moment ago; nothing was sent")
        wait = reserve(state, rate, burst, now())
        if wait > seconds:
            state.budget += 1
            return refused("the host's budget of calls is used up; nothing was sent")
        if wait:
            kernel.clock.sleep(wait)
        return None

    def send(method, path, value=None, headers=None, seconds=timeout) -> Result:
        over_budget = admit(timeout)
        if over_budget is not None:
            return over_budget
        address = addresses[state.position % len(addresses)]
        body = None if value is None else json.dumps(value).encode()
        try:
            response = manager.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers or {},
                timeout=urllib3.Timeout(total=seconds),
            )
            outcome = classify(response)
        except NewConnectionError:
            outcome = refused("no connection to the store")
        except HTTPError as error:
            outcome = unknown(type(error).__name__)
        note(method, path, outcome)
        return outcome

    def note(method, path, outcome):
        """Pause calls for longer after each failure in a row, with jitter.

        The first one brings no pause, so that an unknown outcome can be read back.
        """
        failure = outcome.swap().value_or(None)
        if failure is None or failure.missing or failure.conflict:
            state.failures = 0
            return
        state.position += 1
        state.failures += 1
        if state.failures > FAILURES_WITHOUT_PAUSE:
            doublings = min(state.failures - FAILURES_WITHOUT_PAUSE, MAX_DOUBLINGS)
            longest = min(FIRST_PAUSE_SECONDS * 2**doublings, MAX_PAUSE_SECONDS)
            state.paused_until = now() + longest * (0.5 + rng.random() / 2)
        report(method, path, failure)

    def report(method, path, failure):
        emit(
            events.STORE_UNAVAILABLE,
            call=method,
            path=path,
            outcome=failure.outcome.value,
            detail=failure.detail,
        )

    def get(path):
        return send("GET", f"/objects/{quote(path)}").bind(decode_or(decode_object))

    def list_objects(prefix, after=""):
        query = urlencode({"prefix": prefix, "after": after})
        rows = send("GET", f"/objects?{query}")
        return rows.bind(decode_or(lambda found: tuple(map(decode_object, found))))

    def create_object(path, value):
        headers = {"If-None-Match": "*"}
        return write(path, value, headers, 0)

    def update(path, value, version):
        headers = {"If-Match": f'"{version}"'}
        return write(path, value, headers, version)

    def write(path, value, headers, version):
        written = send("PUT", f"/objects/{quote(path)}", value, headers)
        written = written.bind(decode_or(decode_object))
        if isinstance(written, Success):
            return written
        if written.failure().outcome is not StoreOutcome.UNKNOWN:
            return written
        found = get(path)
        if isinstance(found, Success) and found.unwrap().version > version:
            if found.unwrap().value == value:
                return found
        return written

    def delete(path, version):
        headers = {"If-Match": f'"{version}"'}
        return send("DELETE", f"/objects/{quote(path)}", None, headers)

    def watch(prefix, version, seconds):
        query = urlencode({"prefix": prefix, "version": version, "timeout": seconds})
        limit = seconds + WATCH_GRACE_SECONDS
        rows = send("GET", f"/watch?{query}", seconds=limit)
        return rows.bind(decode_or(lambda found: tuple(map(decode_change, found))))

    service = Store(get, list_objects, create_object, update, delete, watch)
    kernel.register("store", service)
    return service
