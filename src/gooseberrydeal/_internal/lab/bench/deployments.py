"""Define the sizes of the two deployments that are benchmarked."""

from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.lab.lab_plan import LabPlan

_LANDSHUT: Final = LabPlan(
    name="landshut",
    domains=("d1", "d2", "d3"),
    engines_per_domain=3,
    plain_servers_per_domain=1,
    keepers_per_domain=1,
    entries_per_domain=1,
    adapters=3000,
    loads_per_second=9,
    loads_at_full_speed=3,
    long_max_share=0.25,
)

DEPLOYMENTS: Final = {
    "landshut": _LANDSHUT,
    "halskov": replace(
        _LANDSHUT, name="halskov", loads_per_second=6, long_max_share=0.375
    ),
}
