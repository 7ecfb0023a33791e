"""Counters, gauges and latencies as rendered for scraping."""

from trefoilpin import metrics
from trefoilpin.fakes import loops


def test_counters_gauges_and_latencies_are_rendered():
    service = metrics.create(loops.create_host_kernel(loops.LoopState(1)))
    service.count('refused{reason="x"}')
    service.count('refused{reason="x"}', 2)
    service.gauge("open", lambda: 7)
    for milliseconds in range(1, 101):
        service.time("request_seconds", milliseconds / 1000)
    service.time("request_seconds", 1e9)
    lines = service.render().splitlines()
    assert 'refused{reason="x"} 3' in lines
    assert "open 7" in lines
    assert "request_seconds_count 101" in lines
    value_by_name = dict(line.rsplit(" ", 1) for line in lines)
    median = float(value_by_name['request_seconds{quantile="0.5"}'])
    assert abs(median - 0.051) < 0.001
    assert float(value_by_name['request_seconds{quantile="0.999"}']) >= 59
