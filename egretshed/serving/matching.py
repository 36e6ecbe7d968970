"""Selection of the route and the customer of a request, by plain data."""

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

    A look-up walks the path's own prefixes, so that its cost does not depend on the
    number of routes.
    """

    def __init__(self, configuration: ServingConfiguration):
        self.configuration = configuration
        self._routes = {(r.host, r.path_prefix): r for r in configuration.routes}

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a request to `target`, a path with or without query."""
        name = host.rpartition(":")[0] if ":" in host else host
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name.lower(), path[: end + 1]))
            if route is not None:
                return route
        return None

    def customer(self, key: str) -> Customer | None:
        return self.configuration.customers_by_key.get(key)


def choose_service(route: Route, source: random.Random) -> str:
    """Return one of the route's services, drawn by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    sums = list(accumulate(target.weight for target in route.services))
    drawn = source.random() * sums[-1]
    index = min(bisect_left(sums, drawn), len(sums) - 1)
    return route.services[index].service
