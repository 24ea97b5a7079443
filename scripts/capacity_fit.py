"""Least-squares fits of measured points, and Markdown tables of results."""

import dataclasses
import math


@dataclasses.dataclass
class Line:
    """A least-squares fit: value = intercept + slope * size, with its errors."""

    slope: float
    intercept: float
    # Standard error of the slope; zero when only two points were fitted.
    slope_error: float
    # Root mean square of the residuals.
    residual: float
    mean_size: float
    count: int

    def value_at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return self.intercept + self.slope * size

    def error_at(self, size: float) -> float:
        """Returns the standard error of the fitted value at a size."""
        return math.hypot(self.residual / math.sqrt(self.count), self.slope_error * (size - self.mean_size))


def fit_line(sizes: list[float], values: list[float]) -> Line:
    """Fits a line through the points; at least two of them must differ in size."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values)) / size_variation
    intercept = mean_value - slope * mean_size
    squared_residuals = sum((value - intercept - slope * size) ** 2 for size, value in zip(sizes, values))
    degrees_of_freedom = count - 2
    slope_error = math.sqrt(squared_residuals / degrees_of_freedom / size_variation) if degrees_of_freedom > 0 else 0.0
    return Line(slope, intercept, slope_error, math.sqrt(squared_residuals / count), mean_size, count)


def markdown_table(header: list[str], rows: list[list[object]]) -> str:
    """Formats a table. Floats below 1000 get three significant digits, larger ones are rounded to integers."""

    def cell(value: object) -> str:
        if isinstance(value, float):
            return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"
        return str(value)

    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(cell(value) for value in row) + " |" for row in rows]
    return "\n".join(lines)
