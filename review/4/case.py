"""DRAIN: after a pause of the hosts an endpoint whose entry is gone stays in use until something else changes."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
DRAIN, CONTACT = 2.0, 3.0
ENDPOINTS = 15
LEAVING = 3
# The pause comes once more, with other endpoints that leave, when the first one made no difference.
PAUSES = 3
# Both hosts are suspended for this long; the entries go in the middle of it.
FREEZE_SECONDS = 4.0
REMOVED_AT = 2.0
# The clients are quiet until the hosts have been calm for longer than ``contact``.
BUSY_FROM = FREEZE_SECONDS + CONTACT + 1.0
EXITS_AT = 14.0
BUSY_SECONDS = EXITS_AT - BUSY_FROM - 1.0
PER_SECOND = 50.0


class Work:
    """What the endpoints do; those in ``leaving`` say in their answers that they leave."""

    def __init__(self):
        self.leaving = set()

    def work(self, endpoint, request, sock):
        time.sleep(0.3)
        extra = (("Server-Leaving", "1"),) if endpoint.name in self.leaving else ()
        headers = (("Trefoilpin-Response-Signature", s.SIGNATURE), *extra)
        sock.sendall(s.answer(200, request.id, b"booked", headers))
        return True


def play(record):
    store = s.Store()
    work = Work()
    endpoints = [s.Endpoint(record, store, f"i-{n:06d}", "huvo11a", work.work) for n in range(ENDPOINTS)]
    rules = [s.rule("r-puxsr7i", "unsafe", "/pufi791/", "huvo11a", 3000, 800)]
    store.put("config", "main", s.configuration(rules, ["huvo11a"]))
    fleet = s.Fleet(record, store)
    try:
        fleet.start()
        return judge(record, store, fleet, endpoints, work)
    finally:
        fleet.end()


def pause_once(record, store, fleet, gone, work, send):
    """Suspend the hosts once while some endpoints leave; return the requests that reach these too late."""
    started_at = time.monotonic()

    def wait_until(seconds):
        time.sleep(max(started_at + seconds - time.monotonic(), 0))

    if s.TROUBLE:
        for ip in fleet.ips:
            fleet.signal(ip, signal.SIGSTOP)
    wait_until(REMOVED_AT)
    for endpoint in gone:
        work.leaving.add(endpoint.name)
        endpoint.is_up = False
        store.remove("servers", endpoint.name)
        record.write(f"store: the entry of {endpoint.name} is removed; it goes on serving")
    removed_at = time.monotonic()
    wait_until(FREEZE_SECONDS)
    if s.TROUBLE:
        for ip in fleet.ips:
            fleet.signal(ip, signal.SIGCONT)
    wait_until(BUSY_FROM)
    send()
    wait_until(EXITS_AT)
    late = []
    for endpoint in gone:
        endpoint.crash()
        record.write(f"endpoint {endpoint.name} exits")
        late += [(at, request.id, endpoint.name) for at, request in endpoint.arrived if at > removed_at + DRAIN]
    for at, request_id, name in late:
        record.write(f"late: {request_id} reached {name} {at - removed_at:.2f} s after the store removed its entry")
    return late


def judge(record, store, fleet, endpoints, work):
    answers = []

    def send(ip, request_id):
        got = s.send_request(fleet.address(ip), "POST", "/pufi791/2f", request_id, 3.0, b"ice")
        answers.append(got)
        record.write(f"client: {request_id} ended, status {got.status} {got.detail}")

    def send_forever(ip, label, seconds):
        number, until = 0, time.monotonic() + seconds
        while time.monotonic() < until:
            name = f"{label}{ip[-1]}-{number:04d}"
            threading.Thread(target=send, args=(ip, name), daemon=True).start()
            number += 1
            time.sleep(1 / PER_SECOND)

    def send_from_all(label, seconds):
        threads = [threading.Thread(target=send_forever, args=(ip, label, seconds), daemon=True) for ip in fleet.ips]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    late = []
    for number in range(PAUSES if s.TROUBLE else 1):
        send_from_all(f"before{number}-", 3.0)
        time.sleep(1.0)
        gone = endpoints[LEAVING * number : LEAVING * (number + 1)]
        late = pause_once(record, store, fleet, gone, work, lambda: send_from_all(f"after{number}-", BUSY_SECONDS))
        if late:
            break
    served = sum(got.status == 200 for got in answers)
    line = f"requests {len(answers)}, served {served}, sent to endpoints later than drain after they were gone {len(late)}"
    record.write(line)
    print(line)
    if served < len(answers) / 2:
        raise s.CannotRun("the requests were not served")
    return bool(late)


s.run_case(FOLDER, play)
