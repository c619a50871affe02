"""Define the configuration entry of a backend server."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class BackendServer(Declared):
    """Declare a backend server, its failure domain and its capacity.

    ``address`` is ``IP:port``. ``concurrency`` is the maximum number of requests that
    run at the same time, and ``adapter_slots`` that of loaded adapters.
    ``checks_fencing`` states that the server rejects orders with an outdated fencing
    number.
    """

    kind: Literal["server"] = "server"
    name: Name
    service: Name
    domain: Name
    address: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
    state: Literal["joining", "serving", "leaving"] = "serving"
    checks_fencing: bool = False
    adapter_slots: int = Field(default=0, ge=0, le=4096)
    concurrency: int = Field(default=8, ge=1, le=4096)
