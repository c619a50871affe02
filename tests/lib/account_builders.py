"""Build the documents in which operators declare client accounts."""

import json
from typing import Any


def tenant(name: Any = "alice", *keys: Any, **fields: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(keys), **fields}


def accounts_document(*tenants: Any, version: int = 1) -> bytes:
    return json.dumps({"version": version, "tenants": list(tenants)}).encode()
