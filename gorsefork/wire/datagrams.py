"""Short messages between ingresses: one UDP socket, an actor for each peer."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

import trio

from gorsefork.decisions.interface import PeerMessage
from gorsefork.memory.mailbox import Mailbox
from gorsefork.wire.stream import address, listening_socket

LONGEST = 256
MOST_WAITING = 64  # beyond that a message is lost, as on the way


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
        self.post, self.me, self.here = post, me, address(listen)
        self.sock = listening_socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.bound = trio.Event()
        if shared:  # another process of this ingress hears there, until ``open``
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        else:
            self.open()
        self.numbers = {address(peer): number for number, peer in enumerate(peers)}
        self.dials: dict[int | None, tuple[str, int]] = dict(enumerate(map(address, peers)))
        if everyone:
            self.dials[None] = address(everyone)
        self.mailboxes = {peer: Mailbox[bytes](MOST_WAITING) for peer in self.dials}

    def open(self) -> None:
        """Hear from here on: of two processes that are bound there, the one that came last hears all."""
        if not self.bound.is_set():
            self.sock.bind(self.here)
            self.bound.set()

    def tell(self, peer: int | None, data: bytes) -> None:
        if len(data) <= LONGEST and (mailbox := self.mailboxes.get(peer)) is not None and peer != self.me:
            mailbox.put(data)

    async def run(self) -> None:
        await self.bound.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.listen)
            for peer, dial in self.dials.items():
                if peer != self.me:
                    nursery.start_soon(self.speak, self.mailboxes[peer], dial)

    async def speak(self, mailbox: Mailbox[bytes], dial: tuple[str, int]) -> None:
        while True:
            await mailbox.wait(float("inf"))
            for data in mailbox.drain():
                try:
                    self.sock.sendto(data, dial)
                except OSError:
                    continue  # lost, like any message on its way
            await trio.lowlevel.checkpoint()

    async def listen(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data, source = self.sock.recvfrom(LONGEST + 1)
            except OSError:
                continue  # an earlier message of ours found nobody there
            sender = self.numbers.get((source[0], source[1]))
            if sender is not None and sender != self.me and 0 < len(data) <= LONGEST:
                self.post(PeerMessage(sender, data))

    def close(self) -> None:
        self.sock.close()
