"""Check that calls on a reused connection get only their own responses."""

import asyncio
import contextlib

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrydeal._internal.lab.free_port import LOOPBACK
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.http_session import HttpSession


async def _echo(request: Request) -> Response:
    seconds = float(request.query_params["seconds"])
    await asyncio.sleep(seconds)
    return JSONResponse({"id": request.query_params["id"]})


def test_the_response_to_a_cancelled_call_never_reaches_the_next() -> None:
    async def scenario() -> None:
        server = HttpServer(Starlette(routes=[Route("/", _echo)]), LOOPBACK, 0)
        await server.start()
        session = HttpSession(
            f"http://{LOOPBACK}:{server.port}", read_seconds=5, pool_size=1
        )
        await session.call_json("GET", "/?id=first&seconds=0")
        cancelled = asyncio.create_task(
            session.call_json("GET", "/?id=late&seconds=0.2")
        )
        await asyncio.sleep(0.05)
        cancelled.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await cancelled
        response = await session.call_json("GET", "/?id=next&seconds=0.3")
        assert response == {"id": "next"}
        await session.close()
        await server.abort()

    asyncio.run(scenario())
