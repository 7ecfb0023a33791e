"""Answers without end, in the head or the body, are ended at the deadline.

Guards against an upstream that sends without end and keeps the host's event loop
busy: a caller must have its final answer within half a second after its route's
timeout, and the other tasks of the host must go on running meanwhile. Such an answer
must also not fill the host's memory, which would end the requests of other callers.
"""

import pathlib
import random
import subprocess
import sys
import time
import tracemalloc

import eventlet
import pytest

from trefoilpin import clocks, forwarders, metrics
from trefoilpin.dialects import DEFAULT
from trefoilpin.fakes.endless_upstreams import RESPONSE_BY_SCENARIO
from trefoilpin.gateway.admission import body_memory, response_memory
from trefoilpin.gateway.daemons import MAX_BUFFERED_BYTES
from trefoilpin.kernel import create_kernel
from trefoilpin.messages import CallerRequest
from trefoilpin.records import Upstream
from trefoilpin.services import Events

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEADLINE_SECONDS = 0.6
MAX_OVERRUN_SECONDS = 0.5
# Longest time for which another task of the host may wait.
MAX_GAP_SECONDS = 0.25
TICK_INTERVAL_SECONDS = 0.01
MAX_BUFFERED = 100_000
# A host has 300 MB and needs 100 MB of them; a request on each connection that it keeps
# to a faulty upstream must fit.
MAX_PEAK_BYTES = 200_000_000 // forwarders.MAX_IDLE_CONNECTIONS
# Limit of a host on what it holds for its callers; one answer may have all of it.
HELD_BYTES = 2_000_000
# Time to receive a whole buffer of small chunks while allocations are traced.
MEMORY_DEADLINE_SECONDS = 3.0


class EndlessUpstream:
    """Process of an upstream that answers without end."""

    def __init__(self, behavior):
        command = [sys.executable, "-m", "trefoilpin.fakes.endless_upstreams", behavior]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, cwd=ROOT)
        self.address = f"127.0.0.1:{int(self.process.stdout.readline())}"

    def stop(self):
        self.process.kill()
        self.process.communicate()


def time_request(
    upstream, max_buffered=MAX_BUFFERED, seconds=DEADLINE_SECONDS, held_bytes=None
):
    """Return the seconds that a request and its answer, read to the end, take.

    With ``held_bytes`` what is held of the answer counts toward that limit.
    """
    kernel = create_kernel(
        clocks.system_clock(eventlet.sleep), lambda *task: None, random.Random(1)
    )
    kernel.register("events", Events(lambda *event, **fields: None, lambda: None))
    dialect = DEFAULT._replace(allows_unframed=True)
    memory, holding = None, None
    if held_bytes is not None:
        metrics.create(kernel)
        body_memory.create(kernel, held_bytes)
        memory = response_memory.create(kernel, held_bytes)
        caller = response_memory.Caller("c", "c", lambda: None, lambda: None)
        holding = memory.open(caller)
        assert memory.admit(holding) is None
    service = forwarders.create(
        kernel, forwarders.ForwarderBounds(max_buffered), dialect, memory
    )
    request = CallerRequest(
        "r1", "GET", "h", "/", "", (), b"", "127.0.0.1", 0.0, lambda: False, holding
    )
    began = clocks.boot_seconds()
    deadline = began + seconds
    target = Upstream("u", upstream.address, "a", 1)
    attempt = service.exchange(target, request, deadline, True)
    if attempt.answer is not None and attempt.answer.rest is not None:
        with pytest.raises(OSError):
            for _ in attempt.answer.rest:
                continue
    return clocks.boot_seconds() - began


@pytest.mark.parametrize("behavior", RESPONSE_BY_SCENARIO)
def test_endless_answer_ends_at_the_deadline_and_blocks_no_other_task(behavior):
    upstream = EndlessUpstream(behavior)
    ticks = [time.monotonic()]

    def tick():
        while True:
            eventlet.sleep(TICK_INTERVAL_SECONDS)
            ticks.append(time.monotonic())

    ticker = eventlet.spawn(tick)
    try:
        with eventlet.Timeout(10 * DEADLINE_SECONDS):
            seconds = time_request(upstream)
    finally:
        ticks.append(time.monotonic())
        ticker.kill()
        upstream.stop()
    assert seconds <= DEADLINE_SECONDS + MAX_OVERRUN_SECONDS
    gaps = [later - earlier for earlier, later in zip(ticks, ticks[1:])]
    assert max(gaps) <= MAX_GAP_SECONDS


@pytest.mark.parametrize("behavior", RESPONSE_BY_SCENARIO)
def test_memory_for_an_endless_answer_is_bounded(behavior):
    """Guards against a host that keeps all that a faulty upstream sends."""
    upstream = EndlessUpstream(behavior)
    tracemalloc.start()
    try:
        with eventlet.Timeout(10 * DEADLINE_SECONDS):
            time_request(upstream, MAX_BUFFERED_BYTES, MEMORY_DEADLINE_SECONDS)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        upstream.stop()
    assert peak <= MAX_PEAK_BYTES


@pytest.mark.parametrize("behavior", RESPONSE_BY_SCENARIO)
def test_an_endless_answer_takes_no_more_memory_than_is_reserved(behavior):
    """Guards against a chunk of size -1, of which a host read all that came."""
    upstream = EndlessUpstream(behavior)
    tracemalloc.start()
    try:
        with eventlet.Timeout(10 * DEADLINE_SECONDS):
            time_request(upstream, MAX_BUFFERED, DEADLINE_SECONDS, HELD_BYTES)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        upstream.stop()
    assert peak <= HELD_BYTES
