"""What cold upstreams get from a whole fleet."""

import pytest

from trefoilpin.fakes.cold_fleets import (
    ColdFleet,
    ColdFleetSettings,
    bound,
    worst_second,
)

COLD_SECONDS = 4.0
# Hosts, warm upstreams, mean seconds between two requests of a host, and zones.
FLEETS = {
    "zone-of-16": (16, 3, 0.05, "a"),
    "zone-of-30": (30, 12, 0.2, "a"),
    "full-pool": (44, 6, 0.1, "abc"),
}


@pytest.mark.parametrize("name", FLEETS)
def test_cold_upstream_is_not_flooded_by_the_first_request_of_each_sender(name):
    """Guards against a bound of the fleet that each host keeps alone (issue 47)."""
    hosts, warm_upstreams, request_seconds, zones = FLEETS[name]
    settings = ColdFleetSettings(
        hosts, warm_upstreams, request_seconds=request_seconds, zones=zones
    )
    cold_fleet = ColdFleet(settings)
    joined_at = cold_fleet.fleet.now()
    cold_fleet.put_upstream("cold", 100, COLD_SECONDS)
    cold_fleet.run(COLD_SECONDS)
    sends = cold_fleet.sends("cold", joined_at, joined_at + COLD_SECONDS)
    assert sends
    assert worst_second(sends) <= bound(settings)
