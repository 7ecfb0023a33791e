"""An endpoint sends bytes that are no answer; the hosts that read them must stay within their memory.

The script does what the platform does with a host that exceeds its memory: it kills it and starts it again.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins_3 as st  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
# Three of the endpoints fail part of their answers, one in this many, for 5 s at a time and then not for 3 s.
ENDPOINTS, FAULTY, ONE_IN = 5, 3, 33
FAULTY_SECONDS, PERIOD_SECONDS = 5.0, 8.0
SECONDS, PER_SECOND = 85.0, 75.0
TIME_LIMIT = 3.0
# The link of an endpoint carries 1,000 Mbit/s.
LINK_BYTES_PER_S = 120_000_000
BLOCK = b"\0" * 262_144
HOSTS = 5
# The rule is broken when processes end by themselves so often on so many machines (a tenth of them, two at least).
ENDS, MACHINES = 3, 2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_048_576


def create_respond(is_faulty):
    answers = 0

    async def respond(endpoint, writer, fields, body):
        nonlocal answers
        is_due = TROUBLE and is_faulty and endpoint.record.now() % PERIOD_SECONDS < FAULTY_SECONDS
        answers += is_due
        request_id = fields["trefoilpin-request-id"]
        headers = (
            ("Trefoilpin-Request-Id", request_id),
            ("Trefoilpin-Response-Signature", st.SIGNATURE),
            ("Transfer-Encoding", "chunked"),
        )
        head = st.encode("HTTP/1.1 200 OK", headers, has_length=False)
        if not (is_due and answers % ONE_IN == 0):
            part = request_id.encode() * 90
            writer.write(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(part), part))
            await writer.drain()
            return True
        endpoint.record.write(f"{endpoint.name} answers {request_id} with bytes that are no body")
        writer.write(head + b"-1\r\n")
        sent, started = 0, endpoint.record.now()
        # An endpoint stops work at the deadline that it was given.
        until = started + int(fields["trefoilpin-deadline-ms"]) / 1000
        try:
            while (now := endpoint.record.now()) < until:
                if sent <= (now - started) * LINK_BYTES_PER_S:
                    writer.write(BLOCK)
                    sent += len(BLOCK)
                    await writer.drain()
                await asyncio.sleep(0)
        finally:
            endpoint.record.write(f"{endpoint.name} sent {sent / MEGABYTE:.0f} MB of them for {request_id}")
        return False

    return respond


def resident_mb(process):
    """Return the memory that a process holds, None when it has ended."""
    try:
        with open(f"/proc/{process.pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE_BYTES / MEGABYTE
    except (OSError, IndexError):
        return None


async def play(record):
    store = st.Store(record)
    await store.start()
    rules = [st.route("slot-book", "unsafe", "/book/", "ledger", f"{int(TIME_LIMIT)}s", "800ms", attempts=1)]
    store.put("config", "main", st.configuration(rules, ["ledger"]))
    for number in range(ENDPOINTS):
        respond = create_respond(number < FAULTY)
        await st.Endpoint(record, store, f"i-{number}", "ledger", "z1", 6, lambda target: 0.02, respond).start()
    fleet = st.Fleet(record, store, ["z1"] * HOSTS, MEMORY_MB)
    for number in range(HOSTS):
        fleet.start(number)
    kills = [0] * HOSTS
    peaks = [0.0] * HOSTS
    counts = {"answered": 0, "failed": 0}
    rng = random.Random(1)

    async def watch(number):
        """Kill a host above its memory, as the platform does, and start it again after a short delay."""
        while True:
            await asyncio.sleep(0.02)
            held = resident_mb(fleet.processes[number])
            if fleet.processes[number].poll() is not None or held is None:
                kills[number] += 1
                record.write(f"host {number} ended by itself")
            elif held > MEMORY_MB:
                kills[number] += 1
                record.write(f"host {number} holds {held:.0f} MB of {MEMORY_MB}: killed")
                fleet.signal(number, signal.SIGKILL)
                fleet.processes[number].wait()
            else:
                peaks[number] = max(peaks[number], held)
                continue
            await asyncio.sleep(0.5)
            fleet.start(number, is_first=False)

    async def send(number):
        request_id = f"{number:016x}"
        host = rng.randrange(HOSTS)
        fields = st.client_fields(request_id, TIME_LIMIT)
        try:
            answer = await st.call(fleet.front(host), "POST", f"/book/{number}", fields, b"slot", TIME_LIMIT + 0.5)
        except (OSError, asyncio.TimeoutError):
            answer = None
        is_served = answer is not None and answer[0] == 200 and answer[3]
        counts["answered" if is_served else "failed"] += 1
        if not is_served:
            record.write(f"client of {request_id} at host {host} got {answer and answer[0]}")

    watchers = []
    try:
        if not await fleet.wait_ready():
            return None
        watchers = [asyncio.create_task(watch(number)) for number in range(HOSTS)]
        tasks = []
        until = record.now() + SECONDS
        while record.now() < until:
            tasks.append(asyncio.create_task(send(len(tasks) + 1)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)
        record.write(f"clients: {counts}; hosts ended: {kills}; most MB otherwise: {[round(peak) for peak in peaks]}")
        concerned = sum(number >= ENDS for number in kills)
        return concerned if concerned >= MACHINES else 0
    finally:
        for watcher in watchers:
            watcher.cancel()
        fleet.end()


st.run(FOLDER, play)
