"""Client of the platform's object store, over HTTP and JSON.

Every call ends within its timeout as done, refused (it certainly had no effect) or
unknown. After a write with an unknown outcome the object is read back once; if it
holds what was written, the write is done. Calls over the host's rate limit wait, or
are refused without being sent when they would wait for longer than the timeout. Calls
during the backoff after failures are refused without being sent, too.
"""

import json
from urllib.parse import quote, urlencode

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError, NewConnectionError

from trefoilpin import events
from trefoilpin.bounded_reads import read_body
from trefoilpin.services import (
    Store,
    StoreChange,
    StoredObject,
    StoreFailure,
    StoreOutcome,
)
from trefoilpin.strict_responses import create_pool_manager

__all__ = ["create"]

MAX_CONNECTIONS = 8
BASE_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 8.0
MAX_BACKOFF_DOUBLINGS = 10
FAILURES_WITHOUT_BACKOFF = 1
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0
# A page of objects, or the changes since a version.
MAX_ANSWER_BYTES = 67_108_864


class ClientState:
    """Next address, token bucket of calls, and backoff after failures."""

    def __init__(self, address_index, budget):
        self.address_index = address_index
        self.call_budget = budget
        self.refilled_at = None
        self.consecutive_failures = 0
        self.backoff_until = float("-inf")


def reserve_call(state, rate, burst, now):
    """Take one call from the token bucket; return the seconds until it may be sent."""
    if state.refilled_at is not None:
        state.call_budget = min(
            burst, state.call_budget + (now - state.refilled_at) * rate
        )
    state.refilled_at = now
    state.call_budget -= 1
    return max(0.0, -state.call_budget / rate)


def refused(detail, missing=False, conflict=False):
    """Return the failure of a call that had no effect."""
    failure = StoreFailure(StoreOutcome.REFUSED, detail, missing, conflict)
    return Failure(failure)


def unknown(detail):
    """Return the failure of a call that may have had its effect."""
    return Failure(StoreFailure(StoreOutcome.UNKNOWN, detail))


def classify(response):
    """Return the decoded body of a response of the store, or a failure.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the response ends early or is malformed.
    """
    data = read_body(response, MAX_ANSWER_BYTES)
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
    if isinstance(data, Failure):
        return unknown(data.failure())
    try:
        return Success(json.loads(data.unwrap() or b"null"))
    except ValueError:
        return unknown("the store's answer is not JSON")


def decode_object(row):
    """Return the ``StoredObject`` of a JSON object."""
    return StoredObject(row["path"], row["version"], row["value"])


def decode_change(row):
    """Return the ``StoreChange`` of a JSON object."""
    stored = None if row["deleted"] else decode_object(row)
    return StoreChange(row["path"], row["version"], stored)


def fail_if_malformed(decode):
    """Wrap ``decode`` to return a failure when the response body is malformed."""

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
        ``ip:port`` of the store's endpoints. After a failure the next one is used.
    timeout : float
        Timeout of a call in seconds.
    rate, burst : float
        Calls per second that this host may send on average, and calls at once.

    Returns
    -------
    Store
    """
    emit = kernel.find("events").emit
    manager = create_pool_manager(
        num_pools=len(addresses), maxsize=MAX_CONNECTIONS, block=False, retries=False
    )
    now, rng = kernel.clock.now, kernel.rng
    state = ClientState(rng.randrange(len(addresses)), burst)

    def admit(seconds):
        """Wait for the rate limit; return a failure when the call can't be sent."""
        if now() < state.backoff_until:
            return refused("the store failed a moment ago; nothing was sent")
        wait = reserve_call(state, rate, burst, now())
        if wait > seconds:
            state.call_budget += 1
            return refused("the host's budget of calls is used up; nothing was sent")
        if wait:
            kernel.clock.sleep(wait)
        return None

    def send(method, path, value=None, headers=None, seconds=timeout) -> Result:
        not_admitted = admit(timeout)
        if not_admitted is not None:
            return not_admitted
        address = addresses[state.address_index % len(addresses)]
        body = None if value is None else json.dumps(value).encode()
        try:
            response = manager.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers or {},
                timeout=urllib3.Timeout(total=seconds),
                preload_content=False,
            )
            outcome = classify(response)
        except NewConnectionError:
            outcome = refused("no connection to the store")
        except HTTPError as error:
            outcome = unknown(type(error).__name__)
        record_outcome(method, path, outcome)
        return outcome

    def record_outcome(method, path, outcome):
        """Back off exponentially with jitter after consecutive failures.

        The first failure causes no backoff, so that a write with an unknown outcome
        can be read back.
        """
        failure = outcome.swap().value_or(None)
        if failure is None or failure.missing or failure.conflict:
            state.consecutive_failures = 0
            return
        state.address_index += 1
        state.consecutive_failures += 1
        if state.consecutive_failures > FAILURES_WITHOUT_BACKOFF:
            doublings = min(
                state.consecutive_failures - FAILURES_WITHOUT_BACKOFF,
                MAX_BACKOFF_DOUBLINGS,
            )
            backoff = min(BASE_BACKOFF_SECONDS * 2**doublings, MAX_BACKOFF_SECONDS)
            state.backoff_until = now() + backoff * (0.5 + rng.random() / 2)
        log_failure(method, path, failure)

    def log_failure(method, path, failure):
        emit(
            events.STORE_UNAVAILABLE,
            call=method,
            path=path,
            outcome=failure.outcome.value,
            detail=failure.detail,
        )

    def get(path):
        return send("GET", f"/objects/{quote(path)}").bind(
            fail_if_malformed(decode_object)
        )

    def list_objects(prefix, after=""):
        query = urlencode({"prefix": prefix, "after": after})
        rows = send("GET", f"/objects?{query}")
        return rows.bind(
            fail_if_malformed(lambda items: tuple(map(decode_object, items)))
        )

    def create_object(path, value):
        headers = {"If-None-Match": "*"}
        return write(path, value, headers, 0)

    def update(path, value, version):
        headers = {"If-Match": f'"{version}"'}
        return write(path, value, headers, version)

    def write(path, value, headers, version):
        written = send("PUT", f"/objects/{quote(path)}", value, headers)
        written = written.bind(fail_if_malformed(decode_object))
        if isinstance(written, Success):
            return written
        if written.failure().outcome is not StoreOutcome.UNKNOWN:
            return written
        current = get(path)
        if isinstance(current, Success) and current.unwrap().version > version:
            if current.unwrap().value == value:
                return current
        return written

    def delete(path, version):
        headers = {"If-Match": f'"{version}"'}
        return send("DELETE", f"/objects/{quote(path)}", None, headers)

    def watch(prefix, version, seconds):
        query = urlencode({"prefix": prefix, "version": version, "timeout": seconds})
        limit = seconds + WATCH_TIMEOUT_MARGIN_SECONDS
        rows = send("GET", f"/watch?{query}", seconds=limit)
        return rows.bind(
            fail_if_malformed(lambda items: tuple(map(decode_change, items)))
        )

    service = Store(get, list_objects, create_object, update, delete, watch)
    kernel.register("store", service)
    return service
