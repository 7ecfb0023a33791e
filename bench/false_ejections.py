"""Ejections of healthy upstreams in a simulated day of both deployments.

The real coordinator processes a day of health reports, second by second: 1% background
errors and heavy-tailed latency, a slow account, an account that fails at one upstream,
requests that crash upstreams, a one-way partition between zones, and faults of a whole
pool. Health endpoints have no part in an ejection, so their lag has no effect here. The
baseline, over an eighth of the day, disables the checks for a single account, a single
location, crashing requests and a common cause.
"""

import random
import sys
from concurrent.futures import ProcessPoolExecutor

from bench.results import Result, finish
from trefoilpin import coordinators, outliers
from trefoilpin.fakes import pools
from trefoilpin.reports import HealthReport, PoolReport, Sample, bucket_of

DAY_SECONDS = 86_400
DAY_PARTS = 8
WORKERS = 4
ERROR_SHARE = 0.01
CROSS_ZONE_SHARE = 0.05
TABLE_SIZE = 4096
SLOW_FACTOR = 8.0
HOSTS_PER_ZONE = 2
ACCOUNTS = "AAAAAAAABBBBBBCDEFGH"
SLOW_ACCOUNT = "G"
FAILING_ACCOUNT = "H"
# Name, upstreams, slots, floor, requests a second at each.
POOLS = {
    "hielo": (("ledger", 25, 6, 12, 5.0), ("dispatcher", 6, 6, 4, 2.0)),
    "cupula": (("calendar", 30, 3, 15, 5.0), ("projection", 6, 3, 4, 2.0)),
}


class ActiveFaults:
    """Faults that are active in one second of the day."""

    def __init__(self, second):
        self.failing_account = second % 3600 < 600
        self.partition = 1800 <= second % 7200 < 1920
        self.pool_errors = 5000 <= second % 10_800 < 5060
        self.pool_slow = 8000 <= second % 10_800 < 8060
        self.crash = second % 600 < 3


def create_latency_table(rng, latency_factor):
    """Return a sample of histogram buckets from a heavy-tailed latency distribution."""
    table = []
    for _ in range(TABLE_SIZE):
        seconds = 0.05 * latency_factor * rng.lognormvariate(0, 0.8)
        if rng.random() < 0.01:
            seconds *= rng.paretovariate(1.2)
        table.append(bucket_of(min(seconds, 10.0)))
    return table


class DaySimulation:
    """A coordinator, and the pools and latencies of the reports sent to it."""

    def __init__(self, seed, deployment):
        self.rng = random.Random(seed)
        pool_records = tuple(pools.make_pool(*row[:4]) for row in POOLS[deployment])
        self.world = pools.create_world(seed, 1, pool_records)
        self.world.queue.clear()
        pools.warm_up(self.world)
        self.coordinator = self.world.hosts[0].find("coordinators")
        self.table = create_latency_table(self.rng, 1.0)
        self.slow_table = create_latency_table(self.rng, SLOW_FACTOR)
        self.rows = [
            (pool, row[1] * row[4])
            for pool, row in zip(pool_records, POOLS[deployment])
        ]


def draw_sample(day, faults, upstream, zone):
    """Return the sample of one request."""
    rng = day.rng
    account = ACCOUNTS[int(rng.random() * len(ACCOUNTS))]
    error_share = 0.3 if faults.pool_errors else ERROR_SHARE
    if faults.failing_account and account == FAILING_ACCOUNT:
        error_share = 0.7 if upstream.id.endswith("3") else error_share
    if faults.partition and zone == "a" and upstream.zone == "b":
        if rng.random() < 0.3:
            return Sample(upstream.id, account, 1, 1, 1, 0, (), ())
    is_slow = account == SLOW_ACCOUNT or faults.pool_slow
    table = day.slow_table if is_slow else day.table
    bucket = table[int(rng.random() * TABLE_SIZE)]
    failed = int(rng.random() < error_share)
    return Sample(upstream.id, account, 1, failed, 0, 0, (bucket,), ())


def crash_samples(day, second, pool):
    """Return samples of a request that breaks another upstream each second."""
    upstream = pool.upstreams[(second // 600 + second % 600) % len(pool.upstreams)]
    fingerprint = second // 600 + 1
    samples = [Sample(upstream.id, "C", 1, 1, 1, 0, (), (fingerprint,))]
    for other in range(day.rng.randrange(3)):
        other_fingerprint = day.rng.getrandbits(60)
        samples.append(
            Sample(upstream.id, "AB"[other], 1, 1, 1, 0, (), (other_fingerprint,))
        )
    return samples


def run_second(day, second):
    """Send the reports of one second and run a step of the coordinator."""
    rng = day.rng
    faults = ActiveFaults(second)
    for pool, rate in day.rows:
        samples_by_zone = {"a": [], "b": [], "c": []}
        for _ in range(int(rate)):
            upstream = pool.upstreams[int(rng.random() * len(pool.upstreams))]
            zone = upstream.zone
            if rng.random() < CROSS_ZONE_SHARE:
                zone = "abc"[int(rng.random() * 3)]
            samples_by_zone[zone].append(draw_sample(day, faults, upstream, zone))
        if faults.crash:
            samples_by_zone["c"].extend(crash_samples(day, second, pool))
        for zone, samples in samples_by_zone.items():
            for number in range(HOSTS_PER_ZONE):
                part = tuple(samples[number::HOSTS_PER_ZONE])
                if part:
                    send_report(day, second, pool, f"{zone}{number}", zone, part)
    day.world.state.now += 1.0
    day.coordinator.step()


def send_report(day, second, pool, host, zone, samples):
    """Send one host's report on a pool."""
    pool_report = PoolReport(pool.id, 0, samples, 0, (), ())
    day.coordinator.receive(host, HealthReport(second + 1, zone, (pool_report,)))


def run(part, deployment, is_checked):
    """Return the ejections of one part of the day."""
    if not is_checked:
        outliers.is_beyond_one_account = lambda *arguments: True
        outliers.is_beyond_one_location = lambda *arguments: True
        outliers.count_crash_requests = lambda *arguments: 0
        coordinators.COMMON_CAUSE_SHARE = 1.0
    day = DaySimulation(part, deployment)
    part_seconds = DAY_SECONDS // DAY_PARTS
    for second in range(part * part_seconds, (part + 1) * part_seconds):
        run_second(day, second)
    ejections = [line for line in day.world.lines if line[2] == "upstream_ejected"]
    for at, _, _, fields in ejections:
        print(f"part {part} at {at:.0f} s: {fields}", file=sys.stderr)
    return len(ejections)


def run_baseline(part, deployment):
    """Return the ejections of one part of the day without the checks."""
    with ProcessPoolExecutor(1) as executor:
        return executor.submit(run, part, deployment, False).result()


def main():
    """Measure both deployments."""
    results = []
    with ProcessPoolExecutor(WORKERS) as executor:
        counts_by_name = {
            name: executor.map(
                run, range(DAY_PARTS), [name] * DAY_PARTS, [True] * DAY_PARTS
            )
            for name in POOLS
        }
        total_by_name = {name: sum(counts) for name, counts in counts_by_name.items()}
    for name, total in total_by_name.items():
        baseline = run_baseline(1, name)
        figure_name = f"false_ejections_{name}"
        results.append(Result(figure_name, total, "ejections a day", 0, 0, baseline))
    finish(results)


if __name__ == "__main__":
    main()
