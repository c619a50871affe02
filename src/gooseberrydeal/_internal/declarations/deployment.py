"""Declare the configuration of a deployment."""

from collections.abc import Iterable, Mapping
from typing import Literal

from pydantic import ValidationError

from gooseberrydeal._internal.declarations.document import document_text
from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.adapter import Adapter
from gooseberrydeal._internal.models.adapter_version import AdapterVersion
from gooseberrydeal._internal.models.alias import Alias
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.caller import Caller
from gooseberrydeal._internal.models.entries import Entry
from gooseberrydeal._internal.models.operation import Operation
from gooseberrydeal._internal.models.platform_limits import PlatformLimits
from gooseberrydeal._internal.models.service import Service
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.policy.declaration_check import find_problems


class Deployment:
    """Collect declarations of services, adapters, callers and servers.

    :meth:`text` returns them as a configuration document; equal declarations give
    identical bytes. Each declaring method raises :class:`DeclarationError` for an
    invalid value. :meth:`text` raises it with all inconsistencies between the
    declarations.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._entries: list[Entry] = []

    @property
    def entries(self) -> tuple[Entry, ...]:
        """Return the declared entries in the order of their declaration."""
        return tuple(self._entries)

    def limits(
        self,
        *,
        loads_per_second: int,
        loads_at_full_speed: int,
        loads_in_flight: int = 24,
        load_seconds: float = 0.25,
        claim_window_seconds: int = 86400,
    ) -> None:
        """Declare the load limits of the weight store and the engines.

        Rates and counts apply to the whole region. ``loads_at_full_speed`` is the
        number of concurrent loads that the weight store serves without slowing down,
        ``load_seconds`` the usual time of a load. ``claim_window_seconds`` is the
        maximum age of an idempotency key.
        """
        self._add(
            PlatformLimits,
            loads_per_second=loads_per_second,
            loads_at_full_speed=loads_at_full_speed,
            loads_in_flight=loads_in_flight,
            load_seconds=load_seconds,
            claim_window_seconds=claim_window_seconds,
        )

    def work_class(
        self,
        name: str,
        *,
        weight: float = 1.0,
        max_share: float = 1.0,
        deadline_seconds: float = 10.0,
        importance: int = 1,
        engine_priority: int = 0,
        expected_tokens: int = 32,
        aging_seconds: float = 15.0,
    ) -> None:
        """Declare a work class, by which requests are scheduled on the servers.

        ``weight`` is the relative share of a contended server, ``max_share`` the
        maximum fraction of a server's running slots. ``deadline_seconds`` is the time
        to first token after which an answer is useless. Requests of low
        ``importance`` are shed first. ``engine_priority`` is passed to the engine.
        ``expected_tokens`` is the initial estimate of an answer's length. Requests
        that have waited for ``aging_seconds`` are scheduled first, oldest first.
        """
        self._add(
            WorkClass,
            name=name,
            weight=weight,
            max_share=max_share,
            deadline_seconds=deadline_seconds,
            importance=importance,
            engine_priority=engine_priority,
            expected_tokens=expected_tokens,
            aging_seconds=aging_seconds,
        )

    def model_service(self, name: str, *, default_class: str) -> None:
        """Declare a service whose servers are model engines.

        Requests that name no work class get ``default_class``.
        """
        self._add(Service, name=name, type="model", default_class=default_class)

    def plain_service(
        self, name: str, *, default_class: str, operations: Iterable[Operation]
    ) -> None:
        """Declare a service without models, and the operations that it offers."""
        self._add(
            Service,
            name=name,
            type="plain",
            default_class=default_class,
            operations=tuple(operations),
        )

    def server(
        self,
        name: str,
        *,
        service: str,
        domain: str,
        address: str,
        state: Literal["joining", "serving", "leaving"] = "serving",
        checks_fencing: bool = False,
        adapter_slots: int = 0,
        concurrency: int = 8,
    ) -> None:
        """Declare a backend server.

        ``address`` is ``IP:port``. ``concurrency`` is the maximum number of requests
        that run at the same time, and ``adapter_slots`` that of loaded adapters.
        ``checks_fencing`` states that the server rejects orders with an outdated
        fencing number.
        """
        self._add(
            BackendServer,
            name=name,
            service=service,
            domain=domain,
            address=address,
            state=state,
            checks_fencing=checks_fencing,
            adapter_slots=adapter_slots,
            concurrency=concurrency,
        )

    def adapter(
        self,
        name: str,
        *,
        service: str,
        base_model: str,
        versions: Mapping[str, str],
        default_version: str | None = None,
    ) -> None:
        """Declare an adapter.

        ``versions`` maps the name of each version to its path, from the oldest to the
        newest. Requests that name no version get ``default_version``, by default the
        newest.
        """
        listed = [{"name": key, "path": path} for key, path in versions.items()]
        newest = next(reversed(list(versions)), "")
        self._add(
            Adapter,
            name=name,
            service=service,
            base_model=base_model,
            versions=tuple(AdapterVersion(**item) for item in listed),
            default_version=default_version or newest,
        )

    def alias(self, name: str, *, adapter: str, version: str | None = None) -> None:
        """Declare another name for an adapter, optionally pinned to a version."""
        self._add(Alias, name=name, adapter=adapter, version=version)

    def caller(
        self,
        name: str,
        *,
        key_hashes: Iterable[str],
        services: Iterable[str],
        adapters: Iterable[str] = (),
        requests_per_second: float = 500.0,
    ) -> None:
        """Declare a caller, its API keys and what it may use.

        ``key_hashes`` are made by :func:`key_hash`. ``adapters`` lists the allowed
        adapter names, or prefixes that end in ``*``. ``requests_per_second`` is the
        rate limit on each entry host.
        """
        self._add(
            Caller,
            name=name,
            key_hashes=tuple(key_hashes),
            services=tuple(services),
            adapters=tuple(adapters),
            requests_per_second=requests_per_second,
        )

    def text(self) -> str:
        """Validate the declarations and return the configuration document.

        Raises :class:`DeclarationError` with all inconsistencies.
        """
        problems = find_problems(self._entries)
        if problems:
            raise DeclarationError(problems)
        return document_text(self._name, self._entries)

    def _add(self, model: type[Entry], **values: object) -> None:
        try:
            self._entries.append(model.model_validate(values))
        except ValidationError as error:
            name = values.get("name", "platform")
            raise DeclarationError(
                [
                    f"{name}: {'.'.join(str(p) for p in item['loc'])}: {item['msg']}"
                    for item in error.errors()
                ]
            ) from error
