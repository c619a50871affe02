"""Serve requests over the whole path, in memory."""

from tests.lib.answers import expected_text, is_whole, text_of
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import World


def test_answers_come_from_the_adapter_and_version_asked_for() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for version in ("v1", "v2"):
            events = await world.ask("a00003", version, "hello", tokens=6)
            assert is_whole(events)
            assert text_of(events) == expected_text(f"a00003@{version}", "hello", 6)
        await world.stop()

    run_virtual(scenario())
