"""Log lines: format, quoting, sampling, limits and writing without blocking."""

import json
import logging
import os
import time
import types

import eventlet
import pytest

from trefoilpin import events, logs
from trefoilpin.fakes import loops
from trefoilpin.kernel import create_kernel


def create(lines, **arguments):
    kernel = create_kernel(loops.movable_clock(loops.LoopState(1)), lambda *task: None)
    logging.getLogger("trefoilpin").setLevel(logging.INFO)
    return logs.create(kernel, write=lines.append, **arguments)


@pytest.mark.parametrize(
    "value, text",
    [
        (None, "-"),
        ("", '""'),
        ("a b", '"a b"'),
        ("a\nE9 b", '"a\\nE9 b"'),
        ('="', '"=\\""'),
    ],
)
def test_values_are_quoted_so_that_they_cannot_forge_fields_or_lines(value, text):
    assert logs.quote(value) == text


def test_line_contains_number_name_and_fields():
    lines = []
    service = create(lines)
    service.emit(events.CALLER_GONE, request_id="r1")
    assert lines == []
    service.flush()
    assert lines == ["1000.000 E113 caller_gone request_id=r1\n"]
    service = create(lines, log_format="json")
    service.emit(events.CALLER_GONE, request_id="r1")
    service.flush()
    assert json.loads(lines[1])["request_id"] == "r1"


def test_sampling_leaves_out_only_sampled_events():
    lines = []
    service = create(lines, sample=10)
    for _ in range(30):
        service.emit(events.UPSTREAM_CHOSEN)
        service.emit(events.REQUEST_REFUSED)
    service.flush()
    assert "".join(lines).count("upstream_chosen") == 3
    assert "".join(lines).count("request_refused") == 30


def test_lines_over_the_buffer_limit_are_counted(monkeypatch):
    monkeypatch.setattr(logs, "MAX_BUFFERED_LINES", 2)
    lines = []
    service = create(lines)
    for _ in range(5):
        service.emit(events.CALLER_GONE, request_id="r1")
    service.flush()
    assert "3 lines were dropped" in lines[0]


def test_sampled_lines_over_the_limit_per_second_are_left_out_and_counted():
    lines = []
    state = loops.LoopState(1)
    kernel = create_kernel(loops.movable_clock(state), lambda *task: None)
    service = logs.create(kernel, write=lines.append, max_routine=5)
    for _ in range(12):
        service.emit(events.ATTEMPT_ENDED)
        service.emit(events.GATEWAY_REFUSED)
    state.now += 1.0
    service.emit(events.ATTEMPT_ENDED)
    service.flush()
    text = "".join(lines)
    assert text.count("attempt_ended") == 6
    assert text.count("gateway_refused") == 12
    assert "lines_left_out lines=7" in text


def test_blocked_reader_of_standard_output_blocks_no_other_task(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr(
        logs.sys, "stdout", types.SimpleNamespace(fileno=lambda: writer)
    )
    task = eventlet.spawn(logs.write_standard_output, "x" * 200_000)
    started = time.monotonic()
    eventlet.sleep(0.02)
    assert time.monotonic() - started < 1.0
    received = 0
    while received < 200_000:
        received += len(os.read(reader, 65_536))
        eventlet.sleep(0)
    task.wait()
    os.close(reader)
    os.close(writer)


def test_event_numbers_and_names_are_unique():
    numbers = [event.number for event in events.CATALOGUE]
    assert len(set(numbers)) == len(numbers)
    assert len({event.name for event in events.CATALOGUE}) == len(numbers)


def test_lines_of_events_that_others_cause_are_limited_per_minute_and_counted():
    """Guards against a log that grows with what others write (review, case 8)."""
    lines = []
    state = loops.LoopState(1)
    kernel = create_kernel(loops.movable_clock(state), lambda *task: None)
    service = logs.create(kernel, write=lines.append)
    for number in range(1000):
        detail = f"{number}" + "x" * 100_000
        service.emit(events.OBJECT_MALFORMED, kind="k", object=detail, detail=detail)
        service.emit(events.REQUEST_REFUSED, request_id=str(number))
    service.flush()
    text = "".join(lines)
    assert text.count("object_malformed") == logs.MAX_LIMITED_LINES_PER_MINUTE
    assert text.count("request_refused") == 1000
    assert len(text) < 30 * 3000 + 1000 * 200
    state.now += 60.0
    service.emit(events.OBJECT_MALFORMED, kind="k", object="o", detail="d")
    service.flush()
    left_out = 1000 - logs.MAX_LIMITED_LINES_PER_MINUTE
    assert f"limited_event=712 lines={left_out}" in lines[-1]
    assert "object=o" in lines[-1]
