"""Structured logs: one line an event, with stable names; a slow reader of stderr holds up nobody."""

from __future__ import annotations

import logging
import logging.handlers
import queue
import sys
import threading
from typing import Any, Literal, TextIO

import structlog

MAX_WAITING_LINES = 10_000  # lines that a slow reader may be behind; later ones are dropped and counted
CLOSE_TIMEOUT_S = 0.5  # s at the end for what still waits


class NonBlockingHandler(logging.handlers.QueueHandler):
    """Hands lines to the writer's thread; a full queue drops the line, and the next one that fits says so."""

    def __init__(self, lines: queue.Queue[Any]) -> None:
        super().__init__(lines)
        self.lines, self.dropped = lines, 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.lines.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class StructuredLog:
    """``log(text, event=..., **fields)``; JSON lines, or text for a person."""

    def __init__(self, form: Literal["json", "text"], ingress: str, stream: TextIO | None = None) -> None:
        self.queue: queue.Queue[Any] = queue.Queue(MAX_WAITING_LINES)
        self.handler = NonBlockingHandler(self.queue)
        self.listener = logging.handlers.QueueListener(
            self.queue, logging.StreamHandler(stream if stream is not None else sys.stderr)
        )
        logger = logging.Logger(f"gorsefork.{ingress}", logging.INFO)
        logger.addHandler(self.handler)
        renderer: Any = (
            structlog.processors.JSONRenderer()
            if form == "json"
            else structlog.dev.ConsoleRenderer(colors=False)
        )
        self.logger = structlog.wrap_logger(
            logger,
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                renderer,
            ],
        )
        self.ingress = ingress
        self.listener.start()

    def __call__(self, text: str, /, *, event: str = "note", **fields: object) -> None:
        dropped, self.handler.dropped = self.handler.dropped, 0
        if dropped:
            fields["lines_dropped"] = dropped
        self.logger.info(event, text=text, ingress=self.ingress, **fields)
        if self.handler.dropped:  # this line too, and with it the count that it carried
            self.handler.dropped += dropped

    def close(self) -> None:
        """Give the writer a little time, and leave it if its reader takes nothing."""
        last = threading.Thread(target=self.listener.stop, daemon=True)
        last.start()
        last.join(CLOSE_TIMEOUT_S)
