"""Which receipts of the accounts are believed (docs/usage-export.md, "Which receipts are believed")."""

from __future__ import annotations

from dataclasses import dataclass

from gorsefork.usage.records import Batch

RECEIPT_STATUSES = (200, 409)  # of the answers that say up to where the accounts have a life


@dataclass(frozen=True, slots=True)
class AccountsAnswer:
    """What came back for one batch: ``status`` 0 if no whole answer, ``upto`` None if no readable receipt."""

    status: int
    upto: int | None = None


@dataclass(frozen=True, slots=True)
class SentRange:
    """What the accounts may have been sent of one life.

    ``highest`` is the highest number that may have left this ingress. ``exact``: this very process sent all
    that was sent. An earlier process may have sent everything that it recorded, and the state folder that it
    left may have been put back as it was before.
    """

    highest: int
    exact: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """``upto``: the number up to which the uses of the batch's life are kept; None: nothing new is.

    ``problem`` says why a receipt was not believed; empty if there was none to believe.
    """

    upto: int | None
    problem: str = ""


def read_receipt(answer: AccountsAnswer, batch: Batch, sent: SentRange) -> Acknowledgement:
    """What the answer to ``batch`` acknowledges.

    A receipt counts up to the highest number that may have been sent, not up to the end of this batch: the
    accounts may have kept an earlier, larger batch whose answer was lost, also to an earlier process.
    """
    upto = answer.upto
    if answer.status not in RECEIPT_STATUSES or upto is None:
        return Acknowledgement(None)
    if upto > sent.highest and answer.status == 200 and not sent.exact:
        return Acknowledgement(batch.last)
    if upto > sent.highest:
        return Acknowledgement(
            None, f"the accounts claim all up to {upto} of a life that was sent up to {sent.highest}"
        )
    if upto >= batch.first or (answer.status == 200 and upto == batch.last):
        return Acknowledgement(upto)
    return Acknowledgement(None, f"the accounts have all up to {upto} only")
