"""The decisions of a quota-keeping gateway for a shared API."""

from sloeyard.rules import Gatekeeper

__all__ = ["Gatekeeper"]
