"""The decisions of a quota-keeping gateway for a shared API."""

from gorsefork.decisions.rules import DecisionEngine

__all__ = ["DecisionEngine"]
