"""Define the union of all kinds of configuration entries."""

from typing import Annotated

from pydantic import Field, TypeAdapter

from gooseberrydeal._internal.models.adapter import Adapter
from gooseberrydeal._internal.models.alias import Alias
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.caller import Caller
from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.models.platform_limits import PlatformLimits
from gooseberrydeal._internal.models.service import Service
from gooseberrydeal._internal.models.work_class import WorkClass

Entry = Adapter | Alias | BackendServer | Caller | PlatformLimits | Service | WorkClass

AnyEntry = Annotated[Entry, Field(discriminator="kind")]

ENTRY_ADAPTER: TypeAdapter[Entry] = TypeAdapter(AnyEntry)


def key_of(entry: Entry) -> EntryKey:
    """Return the key ``KIND/NAME``, which is unique within a configuration."""
    return EntryKey(f"{entry.kind}/{entry.name}")
