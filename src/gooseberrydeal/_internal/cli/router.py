"""Run the router, which sends requests directly to the platform's backend servers."""

import asyncio
import gc
import logging
import os
import random
import signal
import sys
from pathlib import Path

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.operations.router.router_node import RouterNode
from gooseberrydeal._internal.operations.router.settings_follower import (
    SettingsFollower,
)
from gooseberrydeal._internal.platform.boot_file import (
    SETTINGS_PATH_VARIABLE,
    read_boot_file,
)
from gooseberrydeal._internal.platform.engine_client import PlatformEngineClient
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.platform.store_client import PlatformStore
from gooseberrydeal._internal.status_codes import ExitCode
from gooseberrydeal._internal.utils.clock import SystemClock
from gooseberrydeal._internal.utils.json_log import configure_logging
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)


async def _serve(path: Path) -> ExitCode:
    settings = read_boot_file(path)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    node = RouterNode(
        settings,
        PlatformStore(settings.store.address),
        PlatformEngineClient(),
        PlatformRelayCodec(),
        PlatformMetadataCodec(),
        SystemClock(),
        random.Random(),
    )
    follower = SettingsFollower(path, read_boot_file, settings, node.apply)
    loop.add_signal_handler(signal.SIGHUP, follower.reload)
    tasks = TaskOwner()
    try:
        await node.start()
    except OSError:
        logger.exception("cannot start: listening on a configured address failed")
        return ExitCode.FAILED
    # Objects that exist after start-up mostly live as long as the process. Freezing
    # excludes them from all later garbage collections.
    gc.freeze()
    tasks.keep_running(follower.run, "settings")
    await stop_requested.wait()
    await tasks.stop()
    cut_count = await node.stop()
    return ExitCode.STREAMS_CUT if cut_count else ExitCode.OK


def main() -> None:
    """Run ``gooseberry-router`` with the settings file named in the environment."""
    # The default action of SIGHUP terminates the process; ignore the signal until the
    # reload handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logging("info")
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if path is None:
        print(
            f"set {SETTINGS_PATH_VARIABLE} to the path of the settings file",
            file=sys.stderr,
        )
        sys.exit(ExitCode.USAGE)
    try:
        sys.exit(asyncio.run(_serve(Path(path))))
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.USAGE)


if __name__ == "__main__":
    main()
