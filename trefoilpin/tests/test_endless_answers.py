"""An answer without end, in its head or its body, ends in time and starves nobody.

After a route's time-out a caller must have its final answer within half a second, and
the other requests of the host go on meanwhile.
"""

import pathlib
import random
import subprocess
import sys
import time

import eventlet
import pytest

from trefoilpin import clocks, forwarders
from trefoilpin.dialects import OWN
from trefoilpin.fakes.endless_upstreams import RESPONSE_BY_SCENARIO
from trefoilpin.kernel import create_kernel
from trefoilpin.messages import CallerRequest
from trefoilpin.records import Upstream
from trefoilpin.services import Events

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEADLINE_SECONDS = 0.6
LATE_SECONDS = 0.5
# Other requests of the host wait no longer than this for their turn.
STARVED_SECONDS = 0.25
TICK_SECONDS = 0.01
MAX_BUFFERED = 100_000


class Endless:
    """The process of an upstream that answers without end."""

    def __init__(self, way):
        command = [sys.executable, "-m", "trefoilpin.fakes.endless_upstreams", way]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, cwd=ROOT)
        self.address = f"127.0.0.1:{int(self.process.stdout.readline())}"

    def end(self):
        self.process.kill()
        self.process.communicate()


def ask(upstream):
    """Return the seconds until a request to an upstream has ended, rest included."""
    kernel = create_kernel(
        clocks.system_clock(eventlet.sleep), lambda *task: None, random.Random(1)
    )
    kernel.register("events", Events(lambda *event, **fields: None, lambda: None))
    dialect = OWN._replace(allows_unframed=True)
    service = forwarders.create(
        kernel, forwarders.ForwarderBounds(MAX_BUFFERED), dialect
    )
    request = CallerRequest(
        "r1", "GET", "h", "/", "", (), b"", "127.0.0.1", 0.0, lambda: False
    )
    began = clocks.boot_seconds()
    deadline = began + DEADLINE_SECONDS
    target = Upstream("u", upstream.address, "a", 1)
    attempt = service.exchange(target, request, deadline, True)
    if attempt.answer is not None and attempt.answer.rest is not None:
        with pytest.raises(OSError):
            for _ in attempt.answer.rest:
                continue
    return clocks.boot_seconds() - began


@pytest.mark.parametrize("way", RESPONSE_BY_SCENARIO)
def test_an_answer_without_end_ends_at_the_deadline_and_starves_nobody(way):
    upstream = Endless(way)
    ticks = [time.monotonic()]

    def tick():
        while True:
            eventlet.sleep(TICK_SECONDS)
            ticks.append(time.monotonic())

    ticker = eventlet.spawn(tick)
    try:
        with eventlet.Timeout(10 * DEADLINE_SECONDS):
            seconds = ask(upstream)
    finally:
        ticks.append(time.monotonic())
        ticker.kill()
        upstream.end()
    assert seconds <= DEADLINE_SECONDS + LATE_SECONDS
    gaps = [later - earlier for earlier, later in zip(ticks, ticks[1:])]
    assert max(gaps) <= STARVED_SECONDS
