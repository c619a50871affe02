"""Find the ranks of the requests that use a service."""

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)


def service_ranks(
    configuration: RoutingConfiguration | None, service: ServiceName
) -> set[int]:
    """Return the ranks that requests for a service may have."""
    if configuration is None:
        return set()
    ranks = {
        route.rank
        for route in configuration.routes
        if any(item.service == service for item in route.services)
    }
    if ranks and configuration.accounts is not None:
        ranks |= {
            account.rank
            for account in configuration.accounts.accounts
            if account.rank is not None
        }
    return ranks
