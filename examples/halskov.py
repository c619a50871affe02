"""Declare the deployment of Brødrene Halskov Matricedele ApS."""

from gooseberrydeal import Deployment, Operation, key_hash

DOMAINS = ("sj-a", "sj-b", "sj-c")

halskov = Deployment("halskov")
halskov.limits(loads_per_second=6, loads_at_full_speed=3)

# Drawing reviews are the most important work and may be slow, but must not delay
# questions: they have the highest importance, and max_share limits them to a part of
# each engine.
halskov.work_class(
    "question", weight=4.0, deadline_seconds=1.7, importance=6, expected_tokens=80
)
halskov.work_class(
    "review",
    weight=3.0,
    max_share=0.375,
    deadline_seconds=600.0,
    importance=9,
    engine_priority=10,
    expected_tokens=3200,
    aging_seconds=10.0,
)
halskov.model_service("advisor", default_class="question")
halskov.plain_service(
    "orders",
    default_class="question",
    operations=[
        Operation(name="order", repeatable=False, work_class="question"),
        Operation(name="stock", repeatable=True, work_class="question"),
    ],
)
for index, domain in enumerate(DOMAINS):
    for number in range(3):
        halskov.server(
            f"{domain}-engine{number}",
            service="advisor",
            domain=domain,
            address=f"10.2.{index}.{10 + number}:8000",
            checks_fencing=number == 0,
            adapter_slots=8,
            concurrency=8,
        )
    halskov.server(
        f"{domain}-orders",
        service="orders",
        domain=domain,
        address=f"10.2.{index}.30:8000",
    )
for number in range(3000):
    name = f"insert-{number:04d}"
    halskov.adapter(
        name,
        service="advisor",
        base_model="die-7b",
        versions={"r1": f"{name}/r1"},
    )
halskov.caller(
    "assistant",
    key_hashes=[key_hash("replace-this-key")],
    services=["advisor", "orders"],
    adapters=["insert-*"],
)

if __name__ == "__main__":
    print(halskov.text(), end="")
