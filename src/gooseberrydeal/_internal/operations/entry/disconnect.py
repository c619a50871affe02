"""Notice that a caller has gone away."""

from starlette.requests import Request


async def disconnected(request: Request) -> None:
    """Return when the caller has gone away; its body was read before."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
