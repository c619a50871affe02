"""Route requests straight to backend servers on the platform."""

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
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
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
        logger.exception("the program could not listen on its addresses")
        return ExitCode.FAILED
    # What lives this long is not garbage; later collections need not look at it.
    gc.freeze()
    tasks.start(follower.run(), "settings")
    await stopping.wait()
    await tasks.stop()
    cut = await node.stop()
    return ExitCode.STREAMS_CUT if cut else ExitCode.OK


def main() -> None:
    """Run the program with the settings file that the platform names."""
    # Until the program can reload its settings, the signal must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logging("info")
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if path is None:
        print(f"set {SETTINGS_PATH_VARIABLE} to the settings file", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    try:
        sys.exit(asyncio.run(_serve(Path(path))))
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.USAGE)


if __name__ == "__main__":
    main()
