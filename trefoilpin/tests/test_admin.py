"""Status codes of the operators' pages, malformed requests included."""

import eventlet
import pytest
import urllib3

from trefoilpin.tests import sessions


@pytest.fixture(scope="module")
def address():
    session = sessions.Session(seed=1)
    sessions.start_store(session)
    values = sessions.start_host(session)
    eventlet.sleep(0)
    yield values["host.admin_address"]
    sessions.stop(session)


@pytest.mark.parametrize(
    "method, path, body, status",
    [
        ("POST", "/tickets", b"{", 400),
        ("POST", "/tickets", b'{"number": 1}', 400),
        ("POST", "/tickets", b" " * 1_000_001, 413),
        ("GET", "/tickets/one", None, 400),
        ("GET", "/tickets/7", None, 404),
        ("GET", "/nowhere", None, 404),
        ("GET", "/upstreams", None, 200),
        ("GET", "/metrics", None, 200),
        ("GET", "/status", None, 200),
    ],
)
def test_status_codes(address, method, path, body, status):
    response = urllib3.request(
        method, f"http://{address}{path}", body=body, retries=False, timeout=10
    )
    assert response.status == status
