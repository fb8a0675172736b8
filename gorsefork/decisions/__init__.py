"""The decision engine of an ingress: backend selection, retries, overload control and customer quotas."""

from gorsefork.decisions.rules import DecisionEngine

__all__ = ["DecisionEngine"]
