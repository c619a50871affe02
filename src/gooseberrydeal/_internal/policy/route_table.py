"""Find the route of a request."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.routing.route import Route


class RouteTable:
    """Look routes up by host and the longest prefix of the path.

    Every prefix begins and ends with a slash, so a lookup tries one candidate for each
    slash of the path, however many routes there are.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or ``None``."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
