"""HTTP front end for operators: change tickets, status and metrics."""

import json
import logging
from http.client import responses

from returns.result import Failure, Success

from trefoilpin import codecs, events, listeners
from trefoilpin.services import StoreOutcome
from trefoilpin.shutdowns import LEAVING_TOPIC
from trefoilpin.tickets import TicketOutcome

__all__ = ["create"]

logger = logging.getLogger(__name__)

MAX_TICKET_BYTES = 1_000_000
MAX_CONNECTIONS = 100
IDLE_TIMEOUT_SECONDS = 60.0
STATUS_BY_OUTCOME = {TicketOutcome.REFUSED: 409, TicketOutcome.UNKNOWN: 503}


def ticket_failure(failure):
    """Return the HTTP status and the body for a ticket that was not accepted."""
    row = {"outcome": failure.outcome.value, "detail": failure.detail}
    if failure.next_number is not None:
        row["next_number"] = failure.next_number
    return STATUS_BY_OUTCOME[failure.outcome], row


def store_failure(failure):
    """Return the HTTP status and the body for a failed read of the store."""
    if failure.missing:
        return 404, {"outcome": "refused", "detail": "no such ticket"}
    outcome = "refused" if failure.outcome is StoreOutcome.REFUSED else "unknown"
    return 503, {"outcome": outcome, "detail": f"the store: {failure.detail}"}


def fleet_view(kernel):
    """Return the fleet as this host sees it."""
    memberships = kernel.find("memberships")
    shutdowns = kernel.find("shutdowns")
    own = memberships.own()
    leaving = {notice.key for notice in kernel.find("notices").read(LEAVING_TOPIC)}
    rows = []
    for host in memberships.live():
        rows.append(
            {
                "host": host.name,
                "zone": host.zone,
                "incarnation": host.incarnation,
                "caller_address": host.caller_address,
                "age_seconds": round(memberships.age(host.incarnation), 2),
                "leaving": host.incarnation in leaving,
            }
        )
    return {
        "host": own.name,
        "incarnation": own.incarnation,
        "current": memberships.is_current(),
        "majority": memberships.has_majority(),
        "stopping": shutdowns.is_stopping(),
        "hosts": rows,
    }


def upstreams_view(kernel):
    """Return every upstream, and why it is out of service if it is."""
    upstream_states = kernel.find("upstream_states")
    rows = []
    for _, pool in sorted(kernel.find("configurations").pools_by_id.items()):
        exclusion_by_id = upstream_states.pool_view(pool).exclusion_by_id
        for upstream in pool.upstreams:
            exclusion = exclusion_by_id.get(upstream.id)
            rows.append(
                {
                    "pool": pool.id,
                    "upstream": upstream.id,
                    "address": upstream.address,
                    "zone": upstream.zone,
                    "state": "in_service" if exclusion is None else exclusion.reason,
                    "badness": (
                        0.0 if exclusion is None else round(exclusion.badness, 3)
                    ),
                }
            )
    return {"upstreams": rows}


def create(kernel, address, accepts_faults=False):
    """Create the front end for operators and register it as ``admin``.

    Parameters
    ----------
    kernel : Kernel
    address : str
        ``ip:port`` to listen on.
    accepts_faults : bool
        True when ``PUT /faults`` may disconnect this host from others; for tests.

    Returns
    -------
    callable
        The WSGI application.
    """
    tickets = kernel.find("tickets")
    configurations = kernel.find("configurations")
    metrics = kernel.find("metrics")
    emit = kernel.find("events").emit

    def submit(environ):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_TICKET_BYTES:
            return 413, {"outcome": "refused", "detail": "the ticket is too large"}
        try:
            row = json.loads(environ["wsgi.input"].read(length))
        except ValueError as error:
            return 400, {"outcome": "refused", "detail": f"not JSON: {error}"}
        decoded = codecs.decode_ticket(row)
        if isinstance(decoded, Failure):
            return 400, {"outcome": "refused", "detail": str(decoded.failure())}
        result = tickets.submit(decoded.unwrap())
        if isinstance(result, Failure):
            return ticket_failure(result.failure())
        ticket = result.unwrap()
        row = {"outcome": "accepted", "number": ticket.number}
        return 200, row | {"digest": ticket.digest}

    def show(environ):
        name = environ["PATH_INFO"].removeprefix("/tickets/")
        if name == "next":
            found = tickets.next_number().map(lambda number: {"next_number": number})
        elif name.isdigit():
            found = tickets.show(int(name)).map(codecs.encode_ticket)
        else:
            return 400, {"outcome": "refused", "detail": "not a ticket number"}
        if isinstance(found, Success):
            return 200, found.unwrap()
        return store_failure(found.failure())

    def status(environ):
        return 200, {
            "ticket": configurations.head(),
            "routes": len(configurations.routes_by_id),
            "accounts": len(configurations.accounts_by_id),
            "pools": len(configurations.pools_by_id),
            **fleet_view(kernel),
        }

    def disconnect(environ):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        addresses = json.loads(environ["wsgi.input"].read(length))["cut"]
        kernel.find("peers").cut(addresses)
        return 200, {"cut": addresses}

    function_by_endpoint = {
        ("POST", "/tickets"): submit,
        ("GET", "/status"): status,
        ("GET", "/upstreams"): lambda environ: (200, upstreams_view(kernel)),
        ("GET", "/metrics"): lambda environ: (200, metrics.render()),
    }

    if accepts_faults:
        function_by_endpoint["PUT", "/faults"] = disconnect

    def application(environ, start_response):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        function = function_by_endpoint.get((method, path))
        if function is None and method == "GET" and path.startswith("/tickets/"):
            function = show
        if function is None:
            code, row = 404, {"detail": "no such page"}
        else:
            code, row = function(environ)
        is_text = isinstance(row, str)
        body = row.encode() if is_text else json.dumps(row).encode() + b"\n"
        content_type = "text/plain" if is_text else "application/json"
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{code} {responses.get(code, '')}", headers)
        return [body]

    def report_malformed(peer, detail):
        emit(events.REQUEST_MALFORMED, peer=peer, detail=detail)

    def start():
        listener = listeners.listen(address)
        kernel.spawn(
            listeners.serve,
            listener,
            application,
            (MAX_CONNECTIONS, IDLE_TIMEOUT_SECONDS),
            kernel.clock,
            kernel.rng,
            report_malformed,
        )

    kernel.register("admin", application, start)
    return application
