"""Bundle the clients of the external systems."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from gooseberrydeal._internal.models.settings import KeeperSettings
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.network.http_engine import HttpEngine
from gooseberrydeal._internal.network.http_host_list import HttpHostList
from gooseberrydeal._internal.network.http_plain_server import HttpPlainServer
from gooseberrydeal._internal.network.http_weight_store import HttpWeightStore
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.network.interfaces.host_list import HostList
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.network.interfaces.plain_server import PlainServer
from gooseberrydeal._internal.network.interfaces.weight_store import WeightStore


async def _close_nothing() -> None:
    """Do nothing, as there are no clients to close."""


@dataclass(frozen=True)
class ExternalClients:
    """Hold the platform and weight store clients and the client factories of servers.

    ``engine`` and ``plain_server`` create a client for a server's address. ``close``
    closes the platform and weight store clients.
    """

    store: KeyValueStore
    host_list: HostList
    weights: WeightStore
    engine: Callable[[str], Engine]
    plain_server: Callable[[str], PlainServer]
    close: Callable[[], Awaitable[None]] = _close_nothing

    @classmethod
    def from_settings(cls, settings: KeeperSettings) -> "ExternalClients":
        """Create clients that connect to the addresses in the settings."""
        store = EtcdStore.from_url(settings.platform.store)
        host_list = HttpHostList.from_url(settings.platform.hosts)
        weights = HttpWeightStore.from_url(settings.platform.weights)

        async def close() -> None:
            await store.close()
            await host_list.close()
            await weights.close()

        return cls(
            store,
            host_list,
            weights,
            HttpEngine.from_address,
            HttpPlainServer.from_address,
            close,
        )
