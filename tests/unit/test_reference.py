"""Test that the documentation matches the code."""

from pathlib import Path

import pytest

from gooseberrydeal._internal.lab.reference import metrics_page, settings_page
from gooseberrydeal._internal.models.http_status import HTTP_STATUS
from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_DOCS = Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize(
    ("name", "text"),
    [("settings.md", settings_page()), ("metrics.md", metrics_page())],
)
def test_reference_page_matches_the_code(name: str, text: str) -> None:
    assert (_DOCS / "operators" / name).read_text() == text


def test_each_refusal_reason_has_a_status_and_is_documented() -> None:
    page = (_DOCS / "callers.md").read_text()
    for reason in RefusalReason:
        assert reason in HTTP_STATUS
        if reason is not RefusalReason.CANCELLED:
            assert f"`{reason.value}`" in page
