"""Lookup of a request's route, pool and client account."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION
from trefoilpin.routes import path_prefixes

__all__ = ["Routing", "create"]


class Routing(NamedTuple):
    """``routing``: lookups in the current configuration.

    ``match(host, path)`` returns a ``Route`` or None, ``account(key)`` an ``Account``
    or None, and ``pool(route)`` the pool for the next request of a route.
    """

    match: Callable
    account: Callable
    pool: Callable


def create(kernel):
    """Create the service ``routing``.

    Requests are dealt to a route's pools by smooth weighted round robin, so that every
    pool has its share over a few requests already.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Routing
    """
    document_cache = kernel.find("document_cache")
    credit_by_pool_by_route: dict[str, dict[str, float]] = {}

    def match(host, path):
        configuration = document_cache.value(CONFIGURATION)
        route_by_prefix = configuration.routes_by_prefix_by_host.get(host)
        if not route_by_prefix:
            return None
        for prefix in path_prefixes(path):
            route = route_by_prefix.get(prefix)
            if route is not None:
                return route
        return None

    def account(key):
        return document_cache.value(CONFIGURATION).account_by_key.get(key)

    def pool(route):
        if len(route.weighted_pools) == 1:
            return route.weighted_pools[0].pool
        credits = credit_by_pool_by_route.get(route.id)
        if credits is None or credits.keys() != {
            share.pool for share in route.weighted_pools
        }:
            credits = start_credits(route)
            credit_by_pool_by_route[route.id] = credits
        total = 0.0
        for share in route.weighted_pools:
            credits[share.pool] += share.weight
            total += share.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen

    def start_credits(route):
        """Start anywhere in the round, so that hosts don't begin alike."""
        credits = {}
        for share in route.weighted_pools:
            credits[share.pool] = kernel.rng.random() * share.weight
        return credits

    def forget(configuration):
        credit_by_pool_by_route.clear()

    document_cache.subscribe(CONFIGURATION, forget)
    service = Routing(match, account, pool)
    kernel.register("routing", service)
    return service
