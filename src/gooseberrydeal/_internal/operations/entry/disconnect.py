"""Detect that a caller has disconnected."""

from starlette.requests import Request


async def wait_for_disconnect(request: Request) -> None:
    """Return when the caller disconnects.

    The request body must have been read before, since its messages are dropped.
    """
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
