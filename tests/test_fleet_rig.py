"""The fleet's test rig itself."""

from __future__ import annotations

import socket
from pathlib import Path

import trio
from fleet_rig import rigged

ROUNDS, DOORS = 10, 5


def test_a_task_of_the_switch_that_is_woken_at_the_end_does_not_wait_on_a_closed_socket(
    tmp_path: Path,
) -> None:
    """Guards against a test that fails at its end after all (issue 41): the order of tasks decided."""

    async def one_round(sender: socket.socket) -> None:
        async with rigged(tmp_path) as rig:
            for place in range(DOORS):
                host, _, port = rig.door(f"n{place}").rpartition(":")
                sender.sendto(b"datagram", (host, int(port)))
            await trio.sleep(0)  # the tasks begin to wait, and are woken in the turn in which the rig ends

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(ROUNDS):
            trio.run(one_round, sender)
