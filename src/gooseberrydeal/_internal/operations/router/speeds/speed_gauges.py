"""Export what is known of the speed of each service."""

from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.server_table import ServerTable


def export_speeds(servers: ServerTable, metrics: RouterMetrics) -> None:
    """Set the gauges of all services whose speed was learned."""
    for service, speeds in servers.speeds.items():
        engine = speeds.engine
        if engine.responses or engine.known_engines:
            speed = engine.latest
            values = {
                "prompt_tokens_per_second": speed.prompt_tokens_per_second,
                "step_seconds": speed.step_seconds,
                "step_seconds_per_request": speed.step_seconds_per_request,
                "longest_step_seconds": speed.longest_step_seconds,
                "known_engines": float(engine.known_engines),
            }
            for figure, value in values.items():
                metrics.set_speed(service, figure, value)
        if speeds.plain.seconds is not None:
            metrics.set_speed(service, "service_seconds", speeds.plain.seconds)
