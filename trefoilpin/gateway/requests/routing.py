"""Lookup of a request's route, pool and client account."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.store.document_cache import CONFIGURATION
from trefoilpin.routes import path_prefixes

__all__ = ["Routing", "create"]


class Routing(NamedTuple):
    """``routing``: lookups in the current configuration.

    ``match(host, path)`` returns a ``Route`` or None, ``account(key)`` an ``Account``
    or None, and ``pool(route)`` the pool for a route's next request.
    """

    match: Callable
    account: Callable
    pool: Callable


def create(kernel):
    """Create the service ``routing``.

    Smooth weighted round robin distributes requests over a route's pools, so that every
    pool gets its share even of a few requests.

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
            weighted_pool.pool for weighted_pool in route.weighted_pools
        }:
            credits = initial_credits(route)
            credit_by_pool_by_route[route.id] = credits
        total = 0.0
        for weighted_pool in route.weighted_pools:
            credits[weighted_pool.pool] += weighted_pool.weight
            total += weighted_pool.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen

    def initial_credits(route):
        """Return random credits, so that hosts don't choose pools in the same order."""
        credits = {}
        for weighted_pool in route.weighted_pools:
            credits[weighted_pool.pool] = kernel.rng.random() * weighted_pool.weight
        return credits

    def reset_credits(configuration):
        credit_by_pool_by_route.clear()

    document_cache.subscribe(CONFIGURATION, reset_credits)
    service = Routing(match, account, pool)
    kernel.register("routing", service)
    return service
