"""Probes made for others (SWIM's indirect probes): a ping on their behalf, and its outcome back to them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.local_node import LocalNode
from gorsefork.fleet.messages import Message

MOST_RELAYED = 256  # probes made for others that wait; beyond that one is not made


@dataclass(slots=True)
class RelayedProbe:
    """Who asked, under which serial, and whom it is to reach."""

    dial: bytes
    serial: int
    name: str
    life: int
    nack_at: int
    answered: bool = False


class Relays:
    """Relayed probes by the serial of this member's ping; the oldest first."""

    def __init__(self, node: LocalNode, dissemination: Dissemination) -> None:
        self.node, self.dissemination = node, dissemination
        self.waiting: OrderedDict[int, RelayedProbe] = OrderedDict()

    def times_due(self) -> list[int]:
        return [probe.nack_at for probe in self.waiting.values() if not probe.answered][:1]

    def begin(self, message: Message, source: bytes) -> None:
        """Carry out a ``relay``."""
        if len(self.waiting) >= MOST_RELAYED or not message.dial:
            return
        node = self.node
        serial = node.next_serial()
        nack_at = node.now + node.pace.timeout
        self.waiting[serial] = RelayedProbe(
            source, message.serial, message.target, message.target_life, nack_at
        )
        self.dissemination.send(
            "ping",
            message.dial,
            serial=serial,
            target=message.target,
            target_life=message.target_life,
            facts=(node.fact,),
            about=message.target,
        )

    def acknowledged(self, message: Message) -> None:
        """Pass an ack on to whoever asked for the probe."""
        probe = self.waiting.get(message.serial)
        if probe is None or (probe.name, probe.life) != (message.name, message.life):
            return
        probe.answered = True
        self.dissemination.send(
            "ack", probe.dial, serial=probe.serial, target=probe.name, target_life=probe.life
        )

    def expire(self) -> None:
        """Say of those that had no answer in time that they had none."""
        while self.waiting:
            serial, probe = next(iter(self.waiting.items()))
            if probe.nack_at > self.node.now:
                return
            if not probe.answered:
                self.dissemination.send("nack", probe.dial, serial=probe.serial)
            del self.waiting[serial]

    def clear(self) -> None:
        self.waiting.clear()
