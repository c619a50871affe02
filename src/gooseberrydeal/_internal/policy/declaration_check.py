"""Validate references and constraints between configuration entries."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.adapter import Adapter
from gooseberrydeal._internal.models.alias import Alias
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.caller import Caller
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.entries import Entry, key_of
from gooseberrydeal._internal.models.service import Service
from gooseberrydeal._internal.utils.ip_address import is_ip_and_port

_SHA256_HEX_LENGTH = 64
_HEX_DIGITS = frozenset("0123456789abcdef")


def find_problems(entries: Iterable[Entry]) -> list[str]:
    """Return all problems of a configuration, each prefixed with the entry's key."""
    entry_list = list(entries)
    configuration = Configuration(entry_list)
    problems = _duplicate_problems(entry_list)
    for entry in entry_list:
        key = key_of(entry)
        problems += [f"{key}: {text}" for text in entry_problems(entry, configuration)]
    if "limits/platform" not in configuration.entries:
        problems.append("limits/platform: missing; declare the platform's limits")
    return problems


def entry_problems(entry: Entry, configuration: Configuration) -> list[str]:
    """Return the problems of one entry in the context of its configuration."""
    if isinstance(entry, Adapter):
        return _adapter_problems(entry, configuration)
    if isinstance(entry, Alias):
        return _alias_problems(entry, configuration)
    if isinstance(entry, BackendServer):
        return _server_problems(entry, configuration)
    if isinstance(entry, Caller):
        return _caller_problems(entry, configuration)
    if isinstance(entry, Service):
        return _service_problems(entry, configuration)
    return []


def _duplicate_problems(entries: list[Entry]) -> list[str]:
    seen: set[str] = set()
    problems = []
    for entry in entries:
        key = key_of(entry)
        if key in seen:
            problems.append(f"{key}: declared twice; remove one declaration")
        seen.add(key)
    return problems


def _adapter_problems(entry: Adapter, configuration: Configuration) -> list[str]:
    problems = []
    names = [version.name for version in entry.versions]
    if len(set(names)) != len(names):
        problems.append("a version is declared twice; give each its own name")
    if entry.default_version not in names:
        problems.append(
            f"default_version {entry.default_version!r} is not one of {names}"
        )
    service = configuration.service(entry.service)
    if service is None:
        problems.append(f"service {entry.service!r} is not declared")
    elif service.type != "model":
        problems.append(f"service {entry.service!r} is not a model service")
    return problems


def _alias_problems(entry: Alias, configuration: Configuration) -> list[str]:
    adapter = configuration.adapter(entry.adapter)
    if adapter is None:
        return [f"adapter {entry.adapter!r} is not declared"]
    if configuration.adapter(entry.name) is not None:
        return ["an adapter has the same name; rename the alias"]
    names = [version.name for version in adapter.versions]
    if entry.version is not None and entry.version not in names:
        return [f"version {entry.version!r} is not one of {names}"]
    return []


def _server_problems(entry: BackendServer, configuration: Configuration) -> list[str]:
    problems = []
    service = configuration.service(entry.service)
    if service is None:
        problems.append(f"service {entry.service!r} is not declared")
    elif service.type == "model" and entry.adapter_slots == 0:
        problems.append("adapter_slots must be at least 1 on a model service")
    if not is_ip_and_port(entry.address):
        problems.append(f"address {entry.address!r} is not IP:port")
    return problems


def _caller_problems(entry: Caller, configuration: Configuration) -> list[str]:
    problems = [
        f"service {name!r} is not declared"
        for name in entry.services
        if configuration.service(name) is None
    ]
    for digest in entry.key_hashes:
        if len(digest) != _SHA256_HEX_LENGTH or not set(digest) <= _HEX_DIGITS:
            problems.append(
                "key_hashes must be SHA-256 digests of 64 lowercase hexadecimal digits"
            )
    return problems


def _service_problems(entry: Service, configuration: Configuration) -> list[str]:
    required_classes = {entry.default_class} | {
        item.work_class for item in entry.operations
    }
    problems = [
        f"work class {name!r} is not declared"
        for name in sorted(required_classes)
        if f"class/{name}" not in configuration.entries
    ]
    names = [item.name for item in entry.operations]
    if len(set(names)) != len(names):
        problems.append("an operation is declared twice; give each its own name")
    return problems
