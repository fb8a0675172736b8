"""Short messages between ingresses: one UDP socket, an actor for each peer."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

import trio

from gorsefork.decisions.interface import PeerMessage
from gorsefork.memory.mailbox import Mailbox
from gorsefork.wire.stream import listening_socket, parse_address

MAX_MESSAGE_BYTES = 256
MAX_WAITING_MESSAGES = 64  # beyond that a message is lost, as on the way


class PeerSocket:
    """Messages to and from ``peers``, by their numbers; ``peers_all`` reaches every one."""

    def __init__(
        self,
        listen: str,
        peers: Sequence[str],
        everyone: str,
        me: int,
        post: Callable[[PeerMessage], None],
        shared: bool = False,
    ) -> None:
        self.post, self.own_index, self.own_address = post, me, parse_address(listen)
        self.sock = listening_socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.bound = trio.Event()
        if shared:  # another process of this ingress hears there, until ``open``
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        else:
            self.open()
        self.peer_numbers = {parse_address(peer): number for number, peer in enumerate(peers)}
        self.addresses: dict[int | None, tuple[str, int]] = dict(enumerate(map(parse_address, peers)))
        if everyone:
            self.addresses[None] = parse_address(everyone)
        self.mailboxes = {peer: Mailbox[bytes](MAX_WAITING_MESSAGES) for peer in self.addresses}

    def open(self) -> None:
        """Hear from here on: of two processes that are bound there, the one that came last hears all."""
        if not self.bound.is_set():
            self.sock.bind(self.own_address)
            self.bound.set()

    def send(self, peer: int | None, data: bytes) -> None:
        if (
            len(data) <= MAX_MESSAGE_BYTES
            and (mailbox := self.mailboxes.get(peer)) is not None
            and peer != self.own_index
        ):
            mailbox.put(data)

    async def run(self) -> None:
        await self.bound.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.receive)
            for peer, dial in self.addresses.items():
                if peer != self.own_index:
                    nursery.start_soon(self.send_waiting, self.mailboxes[peer], dial)

    async def send_waiting(self, mailbox: Mailbox[bytes], dial: tuple[str, int]) -> None:
        while True:
            await mailbox.wait(float("inf"))
            for data in mailbox.drain():
                try:
                    self.sock.sendto(data, dial)
                except OSError:
                    continue  # lost, like any message on its way
            await trio.lowlevel.checkpoint()

    async def receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data, source = self.sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:
                continue  # an earlier message of ours found nobody there
            sender = self.peer_numbers.get((source[0], source[1]))
            if sender is not None and sender != self.own_index and 0 < len(data) <= MAX_MESSAGE_BYTES:
                self.post(PeerMessage(sender, data))

    def close(self) -> None:
        self.sock.close()
