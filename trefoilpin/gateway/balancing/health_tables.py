"""The health of all upstreams, found by id, by pool and by zone."""

from typing import NamedTuple

__all__ = ["EMPTY_TABLES", "HealthTables", "group"]


class HealthTables(NamedTuple):
    """``UpstreamHealth`` of the listed upstreams.

    Attributes
    ----------
    by_id : dict
    by_id_by_pool : dict
    by_pool_and_zone : dict
        Lists by pool, and True for the upstreams of the host's own zone.
    """

    by_id: dict
    by_id_by_pool: dict
    by_pool_and_zone: dict


EMPTY_TABLES = HealthTables({}, {}, {})


def group(healths, own_zone):
    """Return the ``HealthTables`` of upstreams.

    Parameters
    ----------
    healths : iterable of UpstreamHealth
    own_zone : str
    """
    tables = HealthTables({}, {}, {})
    for health in healths:
        upstream = health.upstream
        tables.by_id[upstream.id] = health
        tables.by_id_by_pool.setdefault(upstream.pool, {})[upstream.id] = health
        key = (upstream.pool, upstream.zone == own_zone)
        tables.by_pool_and_zone.setdefault(key, []).append(health)
    return tables
