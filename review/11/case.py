"""An endpoint breaks off some of its answers; their clients must not be given a success with a part of the body."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins_3 as st  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENDPOINTS, FAULTY = 10, 6
SECONDS, PER_SECOND = 40.0, 100.0
# Of its answers, a faulty endpoint breaks off one in this many, for 5 s at a time and then not for 3 s.
ONE_IN = 33
FAULTY_SECONDS, PERIOD_SECONDS = 5.0, 8.0
PIECE, PIECES = 32, 40
# Step between the places at which answers end, so that these spread over the whole body.
STEP = 402


def whole_body(request_id):
    text = (request_id + ".") * (PIECE * PIECES // (len(request_id) + 1) + 1)
    return text[: PIECE * PIECES].encode()


def in_chunks(body):
    """Return a body in chunks whose sizes have eight digits (RFC 9112, section 7.1: chunk-size = 1*HEXDIG)."""
    data = b""
    for start in range(0, len(body), PIECE):
        part = body[start : start + PIECE]
        data += b"%08x\r\n%s\r\n" % (len(part), part)
    return data + b"00000000\r\n\r\n"


class Broken:
    """Which answers are broken off, and where."""

    def __init__(self):
        self.place = 0
        self.ids = set()


def create_respond(broken, is_faulty):
    answers = 0

    async def respond(endpoint, writer, fields, body):
        nonlocal answers
        request_id = fields["trefoilpin-request-id"]
        is_due = TROUBLE and is_faulty and endpoint.record.now() % PERIOD_SECONDS < FAULTY_SECONDS
        answers += is_due
        data = in_chunks(whole_body(request_id))
        headers = (
            ("Trefoilpin-Request-Id", request_id),
            ("Trefoilpin-Response-Signature", st.SIGNATURE),
            ("Transfer-Encoding", "chunked"),
        )
        head = st.encode("HTTP/1.1 200 OK", headers, has_length=False)
        is_cut = is_due and answers % ONE_IN == 0
        if is_cut:
            broken.place = (broken.place + STEP) % (len(data) - 12)
            data = data[: broken.place]
            broken.ids.add(request_id)
            endpoint.record.write(f"{endpoint.name} breaks off its answer to {request_id} after {len(data)} bytes")
        writer.write(head + data)
        await writer.drain()
        return not is_cut

    return respond


async def play(record):
    store = st.Store(record)
    await store.start()
    rules = [st.route("slot-book", "unsafe", "/book/", "ledger", "3s", "800ms", attempts=1)]
    store.put("config", "main", st.configuration(rules, ["ledger"]))
    broken = Broken()
    for number in range(ENDPOINTS):
        respond = create_respond(broken, number < FAULTY)
        endpoint = st.Endpoint(record, store, f"i-{number}", "ledger", "z1", 6, lambda target: 0.02, respond)
        await endpoint.start()
    fleet = st.Fleet(record, store, ["z1"])
    fleet.start(0)
    counts = {"whole": 0, "failed": 0, "partial": 0}

    async def send(number):
        request_id = f"{number:016x}"
        fields = st.client_fields(request_id, 3.0)
        try:
            answer = await st.call(fleet.front(0), "POST", f"/book/{number}", fields, b"slot", 4.0)
        except (OSError, asyncio.TimeoutError):
            answer = None
        outcome = "failed"
        if answer is not None and 200 <= answer[0] < 300 and answer[3]:
            outcome = "whole" if answer[2] == whole_body(request_id) else "partial"
        counts[outcome] += 1
        if outcome != "whole":
            shown = None if answer is None else (answer[0], len(answer[2]), "whole" if answer[3] else "broken off")
            record.write(f"client of {request_id} got {shown}: {outcome}")

    try:
        if not await fleet.wait_ready():
            return None
        tasks = []
        for number in range(int(SECONDS * PER_SECOND)):
            tasks.append(asyncio.create_task(send(number + 1)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)
        record.write(f"answers broken off: {len(broken.ids)}; clients got {counts}")
        if counts["whole"] < 0.9 * SECONDS * PER_SECOND:
            return None
        return counts["partial"]
    finally:
        fleet.end()


st.run(FOLDER, play)
