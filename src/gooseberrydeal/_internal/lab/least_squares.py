"""Fit a line to measurements by least squares."""

from collections.abc import Sequence


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through ``(x, y)`` points.

    At least two points must differ in x; otherwise ``ZeroDivisionError`` is raised.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x
    return slope, mean_y - slope * mean_x
