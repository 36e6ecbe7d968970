"""Selection of the route, the customer and the service of a request."""

import random
from bisect import bisect_left
from itertools import accumulate

from egretshed.serving.schema import (
    Customer,
    Route,
    ServingConfiguration,
)


class RouteTable:
    """Routes by host and path prefix; the longest matching prefix wins.

    A lookup tries the prefixes of the requested path, from the length of the longest
    known one on, so its cost depends neither on the number of routes nor on the path.
    """

    def __init__(self, configuration: ServingConfiguration):
        self.configuration = configuration
        self._routes = {(r.host, r.path_prefix): r for r in configuration.routes}
        self._longest_prefix = max(
            (len(r.path_prefix) for r in configuration.routes), default=0
        )

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a request to `target`, a path with an optional query."""
        hostname = host.rpartition(":")[0] if ":" in host else host
        path = target.partition("?")[0][: self._longest_prefix]
        prefix_end = len(path)
        while (prefix_end := path.rfind("/", 0, prefix_end)) >= 0:
            route = self._routes.get((hostname.lower(), path[: prefix_end + 1]))
            if route is not None:
                return route
        return None

    def customer(self, key: str) -> Customer | None:
        return self.configuration.customers_by_key.get(key)


def choose_service(route: Route, random_source: random.Random) -> str:
    """Return one of the route's services, selected at random by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    cumulative_weights = list(accumulate(target.weight for target in route.services))
    threshold = random_source.random() * cumulative_weights[-1]
    index = min(bisect_left(cumulative_weights, threshold), len(cumulative_weights) - 1)
    return route.services[index].service
