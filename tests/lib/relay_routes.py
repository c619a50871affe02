"""Build the routes of the relay that tests run."""

from gooseberrydeal._internal.models.routing.route import (
    RequestKind,
    Route,
    WeightedService,
)
from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from tests.lib.routing_builders import PLAIN, route

RELAY_LIMITS = CallerLimits(
    header_bytes=2000, body_bytes=5000, header_timeout=0.3, idle_timeout=0.4
)


def relay_routes() -> tuple[Route, ...]:
    """Return a route for each kind of request."""
    plain = (WeightedService(PLAIN, 1.0),)
    return (
        route(name="stream", path_prefix="/stream/", timeout=3.0),
        route(
            name="resumable",
            path_prefix="/resumable/",
            timeout=3.0,
            target_latency=0.1,
            is_resumable=True,
            max_servers=2,
        ),
        route(
            name="once",
            path_prefix="/once/",
            kind=RequestKind.ONCE,
            services=plain,
            timeout=0.6,
        ),
        route(
            name="safe",
            path_prefix="/safe/",
            kind=RequestKind.IDEMPOTENT,
            services=plain,
            timeout=0.9,
            target_latency=0.1,
            max_servers=2,
        ),
        route(
            name="patient",
            path_prefix="/patient/",
            kind=RequestKind.IDEMPOTENT,
            services=plain,
            timeout=30.0,
            target_latency=0.1,
            max_servers=2,
        ),
    )
