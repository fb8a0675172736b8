"""Signals in series and steps of the wall clock while a request is in hand, at a real process.

The backend hangs through all of it: the request is owed its final answer in its time all the same.
"""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Sequence
from pathlib import Path

import pytest
from test_held_up import SLACK, WAITS, connected, final_answer_after, look, running, silent_backend

from gorsefork.lab.faults.plan import Plan

__all__ = ["silent_backend"]

HOUR = 3600.0  # s
DRAINED_WITHIN = 3.0 + 0.7  # s from SIGTERM to SIGKILL, with deadlines of 3 s


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP, signal.SIGINT),
    ],
)
def test_a_request_in_hand_is_answered_through_signals_in_a_row(
    signals: Sequence[signal.Signals], tmp_path: Path, silent_backend: socket.socket
) -> None:
    with running(tmp_path, silent_backend, Plan()) as program:
        assert program.process is not None
        with connected(program) as client:
            sent = time.monotonic()
            client.sendall(look("in-hand"))
            silent_backend.settimeout(5)
            attempt, _ = silent_backend.accept()  # it is sent on
            for number in signals:
                program.process.send_signal(number)
            client.settimeout(5)
            assert final_answer_after(client, sent) <= WAITS + SLACK
            attempt.close()
        assert program.process.wait(DRAINED_WITHIN) == 0
        states = [line for line in program.log().splitlines() if "drain" in line or "no more" in line]
        assert states == [
            "gorsefork: drains, with 1 calls in hand",
            "gorsefork: takes no more connections",
            "gorsefork: drained; 0 calls given up",
        ]


@pytest.mark.parametrize("first", [HOUR, -HOUR])
def test_a_request_is_answered_in_its_time_while_the_wall_clock_steps(
    first: float, tmp_path: Path, silent_backend: socket.socket
) -> None:
    steps = tuple((0.1 * number, first * (-1) ** number) for number in range(200))
    plan = Plan(clock_steps=steps)
    with running(tmp_path, silent_backend, plan) as program, connected(program) as client:
        sent = time.monotonic()
        client.sendall(look("stepped"))
        client.settimeout(5)
        took = final_answer_after(client, sent)
        assert WAITS / 2 < took <= WAITS + SLACK
