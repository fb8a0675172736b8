"""Least squares through measured sizes: what is to be expected at another size, and how sure that is."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

import msgspec
import numpy as np
from numpy.typing import NDArray

Model = Literal["linear", "log", "power", "flat"]
LEAST_SIZES = 4
LEAST_RANGE = 10.0  # largest size over smallest
# Two-sided 95% points of Student's t by degrees of freedom; beyond 30 the normal one.
STUDENT = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
)  # fmt: skip
NORMAL = 1.960

Floats = NDArray[np.float64]


class TooFewSizes(Exception):
    """Four sizes over a decade are the least that a slope is drawn through."""


class Prediction(msgspec.Struct, frozen=True):
    """The value to expect of one more measurement, and the interval that holds 95 in 100 of them."""

    value: float
    low: float
    high: float


class Fit(msgspec.Struct, frozen=True):
    """``y = a + b x``, ``a + b ln x``, ``a x^b`` or ``a``. ``b_error``: half of b's 95% interval."""

    model: Model
    a: float
    b: float
    b_error: float
    spread: float  # standard deviation of what is left over; of ln y for ``power``
    student: float
    inverse: tuple[tuple[float, ...], ...]  # of the normal matrix

    def predict(self, size: float) -> Prediction:
        row = basis(self.model, np.array([size]))[0]
        coefficients = np.array([self.a, self.b][: len(row)])
        middle = float(row @ coefficients)
        half = self.student * self.spread * float(np.sqrt(1.0 + row @ np.array(self.inverse) @ row))
        low, high = middle - half, middle + half
        if self.model == "power":
            middle, low, high = (float(np.exp(each)) for each in (middle, low, high))
        return Prediction(middle, low, high)


def basis(model: Model, sizes: Floats) -> Floats:
    ones = np.ones_like(sizes, dtype=np.float64)
    if model == "flat":
        return ones[:, None]
    return np.column_stack([ones, sizes if model == "linear" else np.log(sizes)])


def fit(model: Model, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """``TooFewSizes`` for fewer than four different sizes, or for less than a decade of them."""
    distinct = sorted(set(sizes))
    if len(distinct) < LEAST_SIZES or distinct[-1] < LEAST_RANGE * distinct[0]:
        raise TooFewSizes(f"{len(distinct)} sizes, {distinct[:1]} to {distinct[-1:]}")
    rows = basis(model, np.array(sizes, dtype=np.float64))
    wanted = np.array(values, dtype=np.float64)
    wanted = np.log(wanted) if model == "power" else wanted
    inverse = np.linalg.inv(rows.T @ rows)
    coefficients = inverse @ rows.T @ wanted
    left = wanted - rows @ coefficients
    freedom = len(wanted) - rows.shape[1]
    spread = float(np.sqrt(left @ left / freedom))
    student = STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL
    b = float(coefficients[1]) if len(coefficients) > 1 else 0.0
    b_error = student * spread * float(np.sqrt(inverse[1, 1])) if len(coefficients) > 1 else 0.0
    kept = tuple(tuple(float(each) for each in row) for row in inverse)
    return Fit(model, float(coefficients[0]), b, b_error, spread, student, kept)
