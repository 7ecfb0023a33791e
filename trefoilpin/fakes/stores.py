"""Fake of the platform's object store.

``create_objects`` keeps versioned objects in memory; ``create_application`` serves
them over HTTP. Faults are set with ``PUT /faults`` or in ``ObjectState.faults``.
"""

import json
from typing import Any, NamedTuple, TypedDict
from urllib.parse import parse_qs, unquote

import eventlet
import eventlet.event

__all__ = ["Faults", "ObjectState", "Reply", "create_application", "create_objects"]

MAX_LIST_ROWS = 1000
MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 60.0


class Faults(TypedDict, total=False):
    """Faults that the fake injects.

    ``down`` aborts the connection of every call. ``hang_seconds`` delays each response.
    ``lose_share`` is the share of changes that take effect but whose response is lost.
    """

    down: bool
    hang_seconds: float
    lose_share: float


class Reply(NamedTuple):
    """Status and decoded body of a response; ``lost`` when it must not be sent."""

    status: int
    body: Any
    lost: bool = False


class ObjectState:
    """Objects, their history, counts of calls and faults."""

    def __init__(self, rng):
        self.rng = rng
        self.version = 0
        self.row_by_path: dict[str, dict] = {}
        self.history: list[dict] = []
        self.calls_by_kind: dict[str, int] = {}
        self.faults: Faults = {}
        self.changed = eventlet.event.Event()


class Objects(NamedTuple):
    """Functions of the object store; each returns a ``Reply``."""

    state: ObjectState
    get: Any
    list: Any
    put: Any
    delete: Any
    changes: Any


def create_objects(rng):
    """Create an empty object store.

    Parameters
    ----------
    rng : random.Random
        Decides which responses are lost.

    Returns
    -------
    Objects
    """
    state = ObjectState(rng)

    def count_call(kind):
        state.calls_by_kind[kind] = state.calls_by_kind.get(kind, 0) + 1

    def record_change(path, value, deleted):
        state.version += 1
        row = {"path": path, "version": state.version, "value": value}
        if deleted:
            state.row_by_path.pop(path)
        else:
            state.row_by_path[path] = row
        state.history.append(row | {"deleted": deleted})
        waiters, state.changed = state.changed, eventlet.event.Event()
        waiters.send()
        lost = state.rng.random() < state.faults.get("lose_share", 0)
        return Reply(200, row, lost)

    def get(path):
        count_call("read")
        row = state.row_by_path.get(path)
        return Reply(200, row) if row else Reply(404, None)

    def list_objects(prefix, after):
        count_call("read")
        paths = sorted(
            path
            for path in state.row_by_path
            if path.startswith(prefix) and path > after
        )
        return Reply(200, [state.row_by_path[path] for path in paths[:MAX_LIST_ROWS]])

    def put(path, value, version):
        count_call("write")
        text = json.dumps(value)
        if len(text) > MAX_VALUE_BYTES:
            return Reply(413, None)
        row = state.row_by_path.get(path)
        current_version = row["version"] if row else 0
        if current_version != version:
            return Reply(412, row)
        return record_change(path, json.loads(text), False)

    def delete(path, version):
        count_call("write")
        row = state.row_by_path.get(path)
        if row is None:
            return Reply(404, None)
        if row["version"] != version:
            return Reply(412, row)
        return record_change(path, None, True)

    def changes(prefix, version):
        rows = []
        for row in reversed(state.history):
            if row["version"] <= version:
                break
            if row["path"].startswith(prefix):
                rows.append(row)
        return Reply(200, rows[::-1])

    return Objects(state, get, list_objects, put, delete, changes)


def parse_version(environ):
    """Return the version that a conditional request requires, 0 for a creation."""
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return 0
    return int(environ.get("HTTP_IF_MATCH", '"-1"').strip('"'))


def create_application(objects):
    """Create the WSGI application that serves an object store.

    Parameters
    ----------
    objects : Objects

    Returns
    -------
    callable
    """
    state = objects.state

    def wait_for_changes(query):
        state.calls_by_kind["watch"] = state.calls_by_kind.get("watch", 0) + 1
        prefix = query.get("prefix", [""])[0]
        version = int(query.get("version", ["0"])[0])
        seconds = min(float(query.get("timeout", ["10"])[0]), MAX_WATCH_SECONDS)
        with eventlet.Timeout(seconds, False):
            while not objects.changes(prefix, version).body:
                state.changed.wait()
        return objects.changes(prefix, version)

    def handle_object(method, path, environ):
        if method == "GET":
            return objects.get(path)
        if method == "PUT":
            value = json.loads(environ["wsgi.input"].read())
            return objects.put(path, value, parse_version(environ))
        if method == "DELETE":
            return objects.delete(path, parse_version(environ))
        return Reply(405, None)

    def handle_control(method, path, environ):
        if path == "/faults" and method == "PUT":
            state.faults = json.loads(environ["wsgi.input"].read())
            return Reply(200, state.faults)
        if path == "/calls":
            return Reply(200, state.calls_by_kind)
        return None

    def dispatch(method, path, query, environ):
        if path == "/objects":
            prefix = query.get("prefix", [""])[0]
            return objects.list(prefix, query.get("after", [""])[0])
        if path == "/watch":
            return wait_for_changes(query)
        if path.startswith("/objects/"):
            return handle_object(method, path.removeprefix("/objects/"), environ)
        return Reply(404, None)

    def application(environ, start_response):
        method = environ["REQUEST_METHOD"]
        path = unquote(environ["PATH_INFO"])
        reply = handle_control(method, path, environ)
        if reply is None:
            if state.faults.get("down"):
                raise ConnectionAbortedError("injected fault: store down")
            query = parse_qs(environ.get("QUERY_STRING", ""))
            reply = dispatch(method, path, query, environ)
            eventlet.sleep(state.faults.get("hang_seconds", 0))
        if reply.lost or (
            state.faults.get("down") and path not in ("/faults", "/calls")
        ):
            raise ConnectionAbortedError("injected fault: response lost")
        headers = [("Content-Type", "application/json")]
        if isinstance(reply.body, dict) and "version" in reply.body:
            headers.append(("ETag", f'"{reply.body["version"]}"'))
        start_response(f"{reply.status} -", headers)
        return [json.dumps(reply.body).encode()]

    return application
