"""Explanation of a request from the log lines of several hosts."""

import json

from trefoilpin import explanations

FAILED = {
    "event": 702,
    "name": "attempt_ended",
    "request_id": "r1",
    "upstream": "u1",
    "status": 500,
}
LOG = [
    ("edge-1", {"time": 1.0, "event": 730, "upstream": "u1", "unsound": 0.7}),
    ("edge-1", {"time": 1.1, "event": 730, "upstream": "u2", "unsound": 0.7}),
    ("edge-2", {"time": 1.2, "event": 730, "upstream": "u1", "unsound": 0.6}),
    ("edge-1", {"time": 2.0} | FAILED),
    ("edge-1", {"time": 2.1, "event": 700, "request_id": "r1", "status": 500}),
    ("edge-1", {"time": 2.2, "event": 700, "request_id": "r2", "status": 200}),
    ("edge-1", {"time": 2.3, "event": 713, "kind": "configuration"}),
]


def lines():
    texts = [f" 12.3 {host} {json.dumps(row)}" for host, row in LOG]
    return texts + ["no JSON here", "{broken", '{"event": 1}']


def test_lines_of_the_request_and_their_context_are_shown_in_order():
    shown = explanations.explain(lines(), "r1")
    assert len(shown) == 3
    assert "soundness_changed: upstream=u1, unsound=0.7" in shown[0]
    assert "attempt_ended" in shown[1] and "status=500" in shown[1]
    assert "gateway_answered" in shown[2]


def test_unknown_request_id_gives_no_lines():
    assert explanations.explain(lines(), "r9") == []
