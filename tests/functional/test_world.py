"""Check that completions pass the whole request path, in memory."""

from tests.lib.answers import expected_text, is_whole, text_of
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import InMemoryCluster


def test_answers_come_from_the_requested_adapter_and_version() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for version in ("v1", "v2"):
            events = await cluster.complete("a00003", version, "hello", tokens=6)
            assert is_whole(events)
            assert text_of(events) == expected_text(f"a00003@{version}", "hello", 6)
        await cluster.stop()

    run_virtual(scenario())
