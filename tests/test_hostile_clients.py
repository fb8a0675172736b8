"""Real processes under clients that spend their time and memory, with usual clients beside them.

``benchmarks/hostile_clients.py`` plays the patterns; it has more of them, and longer plays.
"""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from benchmarks.hostile_clients import MEMORY_LIMIT_MB, USUAL_WAIT_S, play

CLIENTS, SECONDS, SEED = 300, 2.5, 1


@pytest.mark.parametrize("pattern", ["many-fields-held", "many-chunks", "whole-bodies", "flood-health"])
def test_hundreds_of_hostile_clients_cost_usual_ones_nothing(pattern: str, tmp_path: Path) -> None:
    """Guards against a process over its memory limit, and late or lost usual answers (issue 54 a)."""
    result = trio.run(play, pattern, CLIENTS, SECONDS, SEED, tmp_path)
    assert result.ended is None and result.most_mb < MEMORY_LIMIT_MB
    assert result.served and not result.lost and result.worst_wait < USUAL_WAIT_S
