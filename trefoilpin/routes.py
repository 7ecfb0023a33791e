"""Matching of a request's host, path and method to a route."""

from returns.result import Failure, Success

from trefoilpin.services import Routes
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

NO_MATCH = Refusal(Reason.ROUTE_UNKNOWN, Verdict.NOT_RUN, "no route matches")
WRONG_METHOD = Refusal(
    Reason.METHOD_NOT_ALLOWED, Verdict.NOT_RUN, "the route does not take this method"
)


class RouteState:
    """Index of the routes, rebuilt when a route changes."""

    def __init__(self):
        self.routes_by_prefix_by_host: dict[str, dict[str, list]] = {}


def index_routes(routes):
    """Return the routes by host and path prefix, each list ordered by route id."""
    routes_by_prefix_by_host = {}
    for route in sorted(routes, key=lambda route: route.id):
        routes_by_prefix = routes_by_prefix_by_host.setdefault(route.host, {})
        routes_by_prefix.setdefault(route.path_prefix, []).append(route)
    return routes_by_prefix_by_host


def path_prefixes(path):
    """Yield a path and its prefixes that end before or after a slash, longest first."""
    yield path
    end = len(path)
    while end > 0:
        end = path.rfind("/", 0, end)
        if end < 0:
            return
        yield path[: end + 1]
        if end > 0:
            yield path[:end]


def create(kernel):
    """Create the service ``routes``.

    The longest matching prefix wins, and a route for the request's host takes
    precedence over a route for any host.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Routes
    """
    state = RouteState()
    configurations = kernel.find("configurations")

    def rebuild(changes):
        if any(change.kind == "route" for change in changes):
            routes = configurations.routes_by_id.values()
            state.routes_by_prefix_by_host = index_routes(routes)

    def match(host, path, method):
        is_path_known = False
        for host_name in (host, ""):
            routes_by_prefix = state.routes_by_prefix_by_host.get(host_name)
            if not routes_by_prefix:
                continue
            for prefix in path_prefixes(path):
                for route in routes_by_prefix.get(prefix, ()):
                    is_path_known = True
                    if not route.methods or method in route.methods:
                        return Success(route)
        return Failure(WRONG_METHOD if is_path_known else NO_MATCH)

    configurations.subscribe(rebuild)
    service = Routes(match)
    kernel.register("routes", service)
    return service
