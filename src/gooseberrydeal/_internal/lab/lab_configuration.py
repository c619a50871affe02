"""Declare the configuration of a deployment of stand-ins."""

from collections.abc import Mapping
from typing import Final

from gooseberrydeal._internal.declarations.deployment import Deployment
from gooseberrydeal._internal.declarations.key_hash import key_hash
from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.models.operation import Operation

CALLER_KEY: Final = "lab-key"
OTHER_KEY: Final = "lab-other-key"
MODEL_SERVICE: Final = "language"
PLAIN_SERVICE: Final = "booking"


def adapter_name(number: int) -> str:
    """Return the name of the adapter with this number."""
    return f"a{number:05d}"


def lab_deployment(
    plan: LabPlan, engines: Mapping[str, str], plain: Mapping[str, str]
) -> Deployment:
    """Declare the deployment of a plan.

    ``engines`` and ``plain`` map server names to addresses (``IP:port``). The part of
    a server name before the first hyphen is its failure domain.
    """
    deployment = Deployment(plan.name)
    deployment.limits(
        loads_per_second=plan.loads_per_second,
        loads_at_full_speed=plan.loads_at_full_speed,
        loads_in_flight=plan.loads_in_flight,
        load_seconds=plan.load_seconds,
        claim_window_seconds=plan.claim_window_seconds,
    )
    _declare_work_classes(deployment, plan)
    deployment.model_service(MODEL_SERVICE, default_class="short")
    deployment.plain_service(
        PLAIN_SERVICE,
        default_class="short",
        operations=(
            Operation(name="redeem", repeatable=False, work_class="short"),
            Operation(name="balance", repeatable=True, work_class="short"),
        ),
    )
    for name, address in engines.items():
        deployment.server(
            name,
            service=MODEL_SERVICE,
            domain=name.partition("-")[0],
            address=address,
            checks_fencing=plan.fenced_engines,
            adapter_slots=plan.engine.adapter_slots,
            concurrency=plan.engine.concurrency,
        )
    for name, address in plain.items():
        deployment.server(
            name,
            service=PLAIN_SERVICE,
            domain=name.partition("-")[0],
            address=address,
        )
    _declare_adapters(deployment, plan)
    return deployment


def _declare_work_classes(deployment: Deployment, plan: LabPlan) -> None:
    deployment.work_class(
        "short",
        weight=4.0,
        deadline_seconds=plan.short_deadline_seconds,
        importance=5,
        expected_tokens=16,
    )
    deployment.work_class(
        "long",
        weight=1.0,
        max_share=plan.long_max_share,
        deadline_seconds=300.0,
        importance=3,
        engine_priority=10,
        expected_tokens=640,
        aging_seconds=10.0,
    )


def _declare_adapters(deployment: Deployment, plan: LabPlan) -> None:
    for number in range(plan.adapters):
        name = adapter_name(number)
        deployment.adapter(
            name,
            service=MODEL_SERVICE,
            base_model="base",
            versions={"v1": f"{name}/v1", "v2": f"{name}/v2"},
        )
    deployment.alias("first", adapter=adapter_name(0), version="v1")
    deployment.caller(
        "counter",
        key_hashes=[key_hash(CALLER_KEY)],
        services=[MODEL_SERVICE, PLAIN_SERVICE],
        adapters=["a*"],
        requests_per_second=10_000,
    )
    deployment.caller(
        "other",
        key_hashes=[key_hash(OTHER_KEY)],
        services=[MODEL_SERVICE],
        adapters=[adapter_name(1)],
        requests_per_second=10_000,
    )
