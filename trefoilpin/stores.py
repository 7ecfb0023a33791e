"""Client of the platform's object store, over HTTP and JSON.

Every call ends within its timeout in one of three ways: done, refused (it certainly
had no effect) or unknown. Nothing is tried again here.
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
WATCH_GRACE_SECONDS = 2.0


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


def create(kernel, addresses, timeout):
    """Create the service ``store``.

    Parameters
    ----------
    kernel : Kernel
    addresses : list of str
        ``ip:port`` of the store, tried in turn by successive calls.
    timeout : float
        Seconds a call may take.

    Returns
    -------
    Store
    """
    emit = kernel.find("events").emit
    manager = urllib3.PoolManager(
        num_pools=len(addresses), maxsize=MAX_CONNECTIONS, block=False, retries=False
    )
    position = [kernel.rng.randrange(len(addresses))]

    def send(method, path, value=None, headers=None, seconds=timeout) -> Result:
        address = addresses[position[0] % len(addresses)]
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
        failure = outcome.swap().value_or(None)
        if failure is not None and not (failure.missing or failure.conflict):
            position[0] += 1
            report(method, path, failure)
        return outcome

    def report(method, path, failure):
        emit(
            events.STORE_UNAVAILABLE,
            call=method,
            path=path,
            outcome=failure.outcome.value,
            detail=failure.detail,
        )

    def get(path):
        return send("GET", f"/objects/{quote(path)}").map(decode_object)

    def list_objects(prefix, after=""):
        query = urlencode({"prefix": prefix, "after": after})
        rows = send("GET", f"/objects?{query}")
        return rows.map(lambda found: tuple(map(decode_object, found)))

    def create_object(path, value):
        headers = {"If-None-Match": "*"}
        return send("PUT", f"/objects/{quote(path)}", value, headers).map(decode_object)

    def update(path, value, version):
        headers = {"If-Match": f'"{version}"'}
        return send("PUT", f"/objects/{quote(path)}", value, headers).map(decode_object)

    def delete(path, version):
        headers = {"If-Match": f'"{version}"'}
        return send("DELETE", f"/objects/{quote(path)}", None, headers)

    def watch(prefix, version, seconds):
        query = urlencode({"prefix": prefix, "version": version, "timeout": seconds})
        limit = seconds + WATCH_GRACE_SECONDS
        rows = send("GET", f"/watch?{query}", seconds=limit)
        return rows.map(lambda found: tuple(map(decode_change, found)))

    service = Store(get, list_objects, create_object, update, delete, watch)
    kernel.register("store", service)
    return service
