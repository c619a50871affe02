"""Match requests to routes."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.routing.route import Route


class RouteTable:
    """Match a host and path to the route with the longest path prefix.

    Every prefix begins and ends with a slash, so a lookup tries one candidate per slash
    in the path, independently of the number of routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a host and path, or ``None`` if none matches."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
