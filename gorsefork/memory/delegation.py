"""Delegations by the name of their former file; they stand beside the calls that hold them."""

from __future__ import annotations

from gorsefork.memory.call import NEVER_RAN, Delegation, Ending

__all__ = ["NEVER_RAN", "Delegation", "Ending"]
