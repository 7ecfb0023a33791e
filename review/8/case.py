"""Case 8: one odd entry among those of the endpoints ends host after host."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

SERVICE = "guides"
HEARTBEAT_SECONDS = 1.5
VALUE_BYTES = 1_048_576
METADATA_BYTES = 200
ODD = "i-5f00d1e5"
# The smallest machines of the deployment.
LIMITS = {"memoryMb": 152, "cpuShare": 0.301, "maxFds": 2870, "linkMbps": 10}
MEMORY_BYTES = 152 * 1_048_576
NESTING = 200
HOSTS = 4
# As many endpoints as the deployment has for the service, and a release of a part.
ENDPOINTS = 32
RELEASED_SHARE = 0.45
RELEASE_GAP_SECONDS = 3.0
SERVES_ON_SECONDS = 4.0
RESTART_SECONDS = 1.0
# Ends of a process in a day, and machines on which they happen, that the rule allows.
ENDS, MACHINES = 3, 2


def odd_entry():
    """Return the entry of another writer: a field of another type, nested, and long."""
    start, end = f'{{"service":"{SERVICE}","address":[', "]}"
    item = "[" * NESTING + "]" * NESTING
    room = VALUE_BYTES - METADATA_BYTES - len(start) - len(end)
    return start + ",".join([item] * (room // (len(item) + 1))) + end


async def main(record, scratch):
    store = standins.Store()
    await store.start()
    endpoints = []
    ids = (f"i-{number:08x}" for number in itertools.count(0x1B22D9E6, 0x01D3A917))

    async def enter():
        cold = standins.COLD_SECONDS if len(endpoints) >= ENDPOINTS else 0.0
        endpoint = standins.Endpoint(next(ids), SERVICE, 3, 0.1, cold)
        await endpoint.start()
        endpoints.append(endpoint)
        store.put("servers", endpoint.name, endpoint.entry())

    async def leave(endpoint):
        endpoint.state = "draining"
        store.put("servers", endpoint.name, endpoint.entry())
        await asyncio.sleep(SERVES_ON_SECONDS)
        endpoints.remove(endpoint)
        endpoint.crash()
        store.remove("servers", endpoint.name)

    for _ in range(ENDPOINTS):
        await enter()
    rules = [standins.route("r-puxsr7i", "unsafe", "/pufi791/", SERVICE)]
    store.put("config", "main", standins.configuration(7, rules, [SERVICE]))
    hosts = standins.create_hosts(HOSTS, store, scratch, LIMITS)
    ends = {host.name: 0 for host in hosts}
    other_ends = {host.name: 0 for host in hosts}
    peaks = {host.name: 0 for host in hosts}
    answers = []
    numbers = itertools.count(1)
    odd = odd_entry()
    stopping, is_odd_written = asyncio.Event(), asyncio.Event()

    async def send(host):
        request_id = f"{next(numbers):016x}"
        data = standins.request_bytes(
            "POST", "/pufi791/2f", request_id, 2000, b"pay claim"
        )
        status, _, _ = await standins.send_once(host, data, 2.5)
        answers.append(status)
        record.write(f"request {request_id} to {host.name}: status {status}")

    async def send_forever():
        tasks = []
        for host in itertools.cycle(hosts):
            if stopping.is_set():
                break
            tasks.append(asyncio.create_task(send(host)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    async def beat_forever():
        while not stopping.is_set():
            for endpoint in endpoints:
                store.put("servers", endpoint.name, endpoint.entry())
            if is_odd_written.is_set():
                store.put("servers", ODD, odd)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def run_host(host):
        """Be the platform of one machine: kill a process over the limit, restart it."""
        while not stopping.is_set():
            memory = host.memory()
            peaks[host.name] = max(peaks[host.name], memory)
            if memory > MEMORY_BYTES:
                record.write(f"{host.name} holds {memory} bytes and is killed")
                ends[host.name] += 1
                host.send_signal(signal.SIGKILL)
                await host.process.wait()
            elif not host.is_running():
                record.write(f"{host.name} ended with {host.process.returncode}")
                other_ends[host.name] += 1
            else:
                await asyncio.sleep(0.01)
                continue
            host.settings["bootstrap"] = False
            await asyncio.sleep(RESTART_SECONDS)
            await host.start()

    try:
        for host in hosts:
            await host.start()
        for host in hosts:
            await host.wait_ready()
        await asyncio.sleep(2.0)
        tasks = [asyncio.create_task(run_host(host)) for host in hosts]
        tasks.append(asyncio.create_task(beat_forever()))
        tasks.append(asyncio.create_task(send_forever()))
        await asyncio.sleep(5.0)
        if standins.has_trouble():
            store.put("servers", ODD, odd)
            is_odd_written.set()
            record.write(f"another writer leaves the entry {ODD}, {len(odd)} bytes")
        for endpoint in endpoints[: int(ENDPOINTS * RELEASED_SHARE)]:
            await enter()
            await asyncio.sleep(RELEASE_GAP_SECONDS / 2)
            tasks.append(asyncio.create_task(leave(endpoint)))
            await asyncio.sleep(RELEASE_GAP_SECONDS / 2)
        stopping.set()
        await asyncio.gather(*tasks)
    finally:
        await standins.stop_all(hosts)
    for host in hosts:
        record.write(
            f"{host.name}: ends over the memory limit {ends[host.name]}, "
            f"other ends {other_ends[host.name]}, most memory {peaks[host.name]}"
        )
    record.write(f"requests sent {len(answers)}, served {answers.count(200)}")
    record.write(f"connections that ended without an answer: {answers.count(0)}")
    hit = [name for name, count in ends.items() if count >= ENDS]
    record.write(f"machines on which processes ended {ENDS} times or more: {len(hit)}")
    return len(hit) >= MACHINES


standins.run(main)
