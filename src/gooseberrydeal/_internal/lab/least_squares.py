"""Fit lines to measurements."""

from collections.abc import Sequence


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x
