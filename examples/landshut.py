"""Declare the deployment of Stadtwerke Landshut Anleihedienst."""

from gooseberrydeal import Deployment, Operation, key_hash

DOMAINS = ("la-north", "la-south", "la-west")

landshut = Deployment("landshut")
landshut.limits(loads_per_second=9, loads_at_full_speed=3)

# Customers wait at the counter: counter work has four times the weight of histories,
# and max_share limits histories to a quarter of each engine.
landshut.work_class(
    "counter", weight=8.0, deadline_seconds=1.7, importance=8, expected_tokens=60
)
landshut.work_class(
    "letter", weight=2.0, deadline_seconds=30.0, importance=4, expected_tokens=300
)
landshut.work_class(
    "history",
    weight=2.0,
    max_share=0.25,
    deadline_seconds=300.0,
    importance=3,
    engine_priority=10,
    expected_tokens=2000,
    aging_seconds=20.0,
)
landshut.model_service("language", default_class="counter")
landshut.plain_service(
    "booking",
    default_class="counter",
    operations=[
        Operation(name="redeem", repeatable=False, work_class="counter"),
        Operation(name="transfer-coupon", repeatable=False, work_class="counter"),
        Operation(name="balance", repeatable=True, work_class="counter"),
    ],
)
for index, domain in enumerate(DOMAINS):
    for number in range(3):
        landshut.server(
            f"{domain}-engine{number}",
            service="language",
            domain=domain,
            address=f"10.1.{index}.{10 + number}:8000",
            checks_fencing=True,
            adapter_slots=8,
            concurrency=8,
        )
    landshut.server(
        f"{domain}-booking",
        service="booking",
        domain=domain,
        address=f"10.1.{index}.30:8000",
    )
for number in range(3000):
    name = f"bond-{number:04d}"
    landshut.adapter(
        name,
        service="language",
        base_model="bavaria-8b",
        versions={"2026-10": f"{name}/2026-10", "2026-11": f"{name}/2026-11"},
    )
landshut.alias("coupon-statements", adapter="bond-0000")
landshut.caller(
    "counter-application",
    key_hashes=[key_hash("replace-this-key")],
    services=["language", "booking"],
    adapters=["bond-*"],
)

if __name__ == "__main__":
    print(landshut.text(), end="")
