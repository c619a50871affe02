"""Check which servers of a service accept requests as their entries change."""

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.server_entry import ServerState
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from tests.lib.routing_builders import LANGUAGE, PLAIN, configuration, server_entry


def _accepting(servers: ServerTable) -> dict[str, list[str]]:
    return {
        str(name): [record.id for record in servers.of_service(name)]
        for name in (LANGUAGE, PLAIN)
    }


def test_servers_of_a_service_follow_their_entries() -> None:
    servers = ServerTable(lambda: 0.0)
    servers.configure(configuration())
    assert _accepting(servers) == {LANGUAGE: [], PLAIN: []}
    servers.put(server_entry("i-1"))
    servers.put(server_entry("i-2"))
    assert _accepting(servers) == {LANGUAGE: ["i-1", "i-2"], PLAIN: []}
    servers.put(server_entry("i-1", state=ServerState.DRAINING))
    assert _accepting(servers) == {LANGUAGE: ["i-2"], PLAIN: []}
    servers.put(server_entry("i-2", service=PLAIN))
    assert _accepting(servers) == {LANGUAGE: [], PLAIN: ["i-2"]}
    servers.put(server_entry("i-1"))
    assert _accepting(servers) == {LANGUAGE: ["i-1"], PLAIN: ["i-2"]}
    servers.remove(ServerId("i-1"))
    servers.remove(ServerId("i-2"))
    assert _accepting(servers) == {LANGUAGE: [], PLAIN: []}
