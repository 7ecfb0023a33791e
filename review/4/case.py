"""Fault: a few large uploads at once, each within the operator's limits, take hosts over their memory limit."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
MEMORY_MB = 300
# Within maxBodyBytes, 67,108,864 bytes.
BODY_BYTES = 60_000_000
UPLOADS = 5 if s.TROUBLE else 1
LIMIT_SECONDS = 12.0
ROUNDS = 3
RESTART_SECONDS = 1.0


def work(endpoint, request, sock):
    time.sleep(0.3)
    sock.sendall(s.signed(request, b"kept"))
    return True


def resident_mb(pid):
    """Return the resident memory of a process in MB, or 0 when it has ended."""
    try:
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Platform:
    """Kills a process that exceeds its memory limit and starts it again after a short delay."""

    def __init__(self, record, fleet):
        self.record, self.fleet = record, fleet
        self.peak = {ip: 0.0 for ip in fleet.ips}
        self.kills = {ip: 0 for ip in fleet.ips}
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while True:
            time.sleep(0.02)
            for ip in self.fleet.ips:
                process = self.fleet.processes[ip]
                if process.poll() is not None:
                    continue
                used = resident_mb(process.pid)
                self.peak[ip] = max(self.peak[ip], used)
                if used > MEMORY_MB:
                    self.kills[ip] += 1
                    self.record.write(f"platform: host {ip} uses {used:.0f} MB of {MEMORY_MB}: killed")
                    self.fleet.signal(ip, signal.SIGKILL)
                    process.wait()
                    threading.Thread(target=self.restart, args=(ip,), daemon=True).start()

    def restart(self, ip):
        time.sleep(RESTART_SECONDS)
        self.fleet.launch(ip)
        self.record.write(f"platform: host {ip} is started again")


def play(record):
    store = s.Store()
    endpoints = [s.Endpoint(record, store, f"i-{n:06d}", "huvo11a", work) for n in range(6)]
    rules = [s.rule("r-puxsr7i", "unsafe", "/pufi791/", "huvo11a", 12000, 3000)]
    store.put("config", "main", s.configuration(rules, ["huvo11a"]))
    fleet = s.Fleet(record, store)
    try:
        fleet.start()
        return judge(record, fleet, Platform(record, fleet), endpoints)
    finally:
        fleet.end()


def judge(record, fleet, platform, endpoints):
    body = bytes(BODY_BYTES)
    small, ends = [], threading.Event()

    def send(ip, request_id, content, kept):
        got = s.send_request(fleet.address(ip), "POST", "/pufi791/2f", request_id, LIMIT_SECONDS, content)
        kept.append((request_id, got))
        record.write(f"client: {request_id} ended, status {got.status} {got.detail}")

    def small_forever(ip):
        number = 0
        while not ends.is_set():
            name = f"small{ip[-1]}-{number:04d}"
            threading.Thread(target=send, args=(ip, name, b"log", small), daemon=True).start()
            number += 1
            time.sleep(0.2)

    for ip in fleet.ips:
        threading.Thread(target=small_forever, args=(ip,), daemon=True).start()
    large = []
    for number in range(ROUNDS):
        threads = []
        for ip in fleet.ips:
            for k in range(UPLOADS):
                name = f"large{ip[-1]}-{number}-{k}"
                threads.append(threading.Thread(target=send, args=(ip, name, body, large), daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(LIMIT_SECONDS + 2)
        time.sleep(5.0)
    ends.set()
    time.sleep(2.0)
    ran = {request.id for endpoint in endpoints for _, request in endpoint.run}
    lost = [name for name, got in small if name in ran and not got.whole]
    line = (
        f"uploads {len(large)}, served {sum(got.status == 200 for _, got in large)}; small requests {len(small)}, served "
        f"{sum(got.status == 200 for _, got in small)}, run and cut {len(lost)}; kills for memory {platform.kills}, "
        f"peak MB { {ip: round(mb) for ip, mb in platform.peak.items()} }"
    )
    record.write(line)
    print(line)
    return sum(count >= 3 for count in platform.kills.values()) >= 2


s.run_case(FOLDER, play)
