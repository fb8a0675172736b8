"""What the module holds of its servers and customers: who is shut out, what counts as open, what is kept."""

from __future__ import annotations

import unittest

from conftest import RATED, Driver, settings

from gorsefork.decisions import interface as i

COPIES = i.Limits(max_attempts=4, second_copies=True, cancel=True)


class ShutOut(unittest.TestCase):
    def test_one_broken_connection_bars_a_server_briefly_and_many_for_long(self) -> None:
        """Guards against a kept connection that breaks under a write: it had barred its server for 10 s."""
        d = Driver(settings())
        fleet = d.gate.fleet
        server = fleet.servers["s0"]
        pauses = []
        for _ in range(8):
            fleet.connected(server, d.now, False, d.now)
            pauses.append(server.barred_until - d.now)
        self.assertLess(pauses[0], 2.0)
        self.assertGreater(pauses[-1], 4.0)
        fleet.connected(server, d.now, True, d.now)
        self.assertEqual(server.unmet, 0)

    def test_a_silent_server_is_tried_now_and_then_by_what_may_be_repeated(self) -> None:
        """Guards against one flag that no answer could ever take back, as nothing was sent there any more."""
        d = Driver(settings(limits=COPIES))
        silent = d.gate.fleet.servers["s0"]
        silent.silent = True
        for number in range(40):
            cls = 1 + number % 2 if number < 20 else 0
            sent = [a for a in d.ask(cls=cls) if isinstance(a, i.Send)]
            self.assertTrue(sent)
            self.assertFalse(number < 20 and sent[0].server == "s0")
            d.feed(i.Outcome(sent[0].id, 0, sent[0].server, "ok", 0.05, True))
            d.now += 0.1
        self.assertFalse(silent.silent)

    def test_a_lost_attempt_neither_fills_its_lane_nor_shuts_its_server_out(self) -> None:
        """Guards against servers that lose some attempts: those stood as open until their deadline, and the
        lane let in ever less, though the servers answered all others at once."""
        d = Driver(settings(limits=COPIES), servers=1)
        lost = next(a for a in d.ask() if isinstance(a, i.Send))
        for _ in range(60):
            for send in [a for a in d.ask() if isinstance(a, i.Send) and a.id != lost.id]:
                d.feed(i.Outcome(send.id, 0, send.server, "ok", 0.05, True))
            d.run(0.04)
        self.assertIn(lost.id, d.gate.tickets)
        self.assertEqual(d.gate.premium.open + d.gate.basic.open, 0)
        self.assertEqual(d.gate.fleet.servers["s0"].open, {})
        pace = d.gate.fleet.servers["s0"].pace
        d.feed(i.Outcome(lost.id, 0, "s0", "timeout", 3.0, True))
        self.assertEqual(d.gate.premium.open + d.gate.basic.open, 0)
        self.assertEqual(d.gate.fleet.servers["s0"].pace, pace)

    def test_attempts_at_a_server_that_fell_silent_do_not_close_the_lane_while_others_answer(self) -> None:
        """Guards against servers that vanish or hang: what was open there held up what others would serve. Of
        a class that is unsafe to repeat too, which gets no second attempt. None is lost if nobody answers."""
        for answering in (True, False):
            d = Driver(settings(limits=COPIES))
            asked = [a for n in range(4) for a in d.ask(cls=n % 2) if isinstance(a, i.Send)]
            lost = [a for a in asked if a.server == "s0"]
            self.assertTrue(lost)
            for _ in range(80):
                sent = [a for a in d.ask() if isinstance(a, i.Send)]
                if answering:
                    well = [a for a in sent if a.server == "s1"]
                    d.feed(*(i.Outcome(a.id, 0, a.server, "ok", 0.05, True) for a in well))
                d.run(0.04)
            held = [a.id for a in lost if a.id in d.gate.tickets and d.gate.tickets[a.id].attempts[0].counted]
            self.assertEqual(bool(held), not answering)
            for a in lost:
                if (ticket := d.gate.tickets.get(a.id)) and ticket.cls.effect == "once":
                    self.assertEqual(len(ticket.attempts), 1)

    def test_a_large_attempt_that_is_overtaken_a_little_stays_open(self) -> None:
        d = Driver(settings(limits=COPIES), servers=1)
        large = next(a for a in d.ask() if isinstance(a, i.Send))
        d.now += 0.05
        other = next(a for a in d.ask() if isinstance(a, i.Send))
        d.feed(i.Outcome(other.id, 0, "s0", "ok", 0.05, True))
        d.run(0.6)
        self.assertTrue(d.gate.tickets[large.id].attempts[0].counted)
        self.assertIn((large.id, 0), d.gate.fleet.servers["s0"].open)


class Kept(unittest.TestCase):
    def test_accounts_of_customers_that_came_once_do_not_pile_up(self) -> None:
        d = Driver(settings(plans=[RATED], accounting=i.Accounting(counter=True, settles=True)))
        for number in range(600):
            d.ask(customer=f"c{number}")
            for count in [a for a in d.run(0.1) if isinstance(a, i.Count)]:
                d.feed(i.Counted(count.name, "ok", count.amount, 0.01))
            for send in d.made(i.Send)[-30:-29]:  # settled when its units have long been counted
                d.feed(i.Outcome(send.id, 0, send.server, "ok", 0.05, True, billed=1.5))
        self.assertLess(len(d.gate.quota.accounts), 300)
        self.assertIn(
            d.gate.quota.of(d.request(customer="c599"), RATED, d.now), d.gate.quota.accounts.values()
        )
        self.assertLess(len(d.gate.quota.due), 10)


if __name__ == "__main__":
    unittest.main()
