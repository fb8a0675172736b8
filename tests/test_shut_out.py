"""What the module holds of its servers and customers: who is shut out, what counts as open, what is kept."""

from __future__ import annotations

import unittest

from conftest import RATED_PLAN, Driver, settings

from gorsefork.decisions import interface as i

COPIES = i.Limits(max_attempts=4, hedging=True, cancel=True)


class ShutOut(unittest.TestCase):
    def test_one_broken_connection_bars_a_server_briefly_and_many_for_long(self) -> None:
        """Guards against a kept connection that breaks under a write: it had barred its server for 10 s."""
        d = Driver(settings())
        fleet = d.engine.selector
        server = fleet.backends["s0"]
        pauses = []
        for _ in range(8):
            fleet.record_connection(server, d.now, False, d.now)
            pauses.append(server.avoided_until - d.now)
        self.assertLess(pauses[0], 2.0)
        self.assertGreater(pauses[-1], 4.0)
        fleet.record_connection(server, d.now, True, d.now)
        self.assertEqual(server.failed_connects, 0)

    def test_a_silent_server_is_tried_now_and_then_by_what_may_be_repeated(self) -> None:
        """Guards against one flag that no answer could ever take back, as nothing was sent there any more."""
        d = Driver(settings(limits=COPIES))
        silent = d.engine.selector.backends["s0"]
        silent.silent = True
        for number in range(40):
            cls = 1 + number % 2 if number < 20 else 0
            sent = [a for a in d.send_request(class_index=cls) if isinstance(a, i.StartAttempt)]
            self.assertTrue(sent)
            self.assertFalse(number < 20 and sent[0].backend == "s0")
            d.feed(i.AttemptEnded(sent[0].id, 0, sent[0].backend, "ok", 0.05, True))
            d.now += 0.1
        self.assertFalse(silent.silent)

    def test_a_lost_attempt_neither_fills_its_lane_nor_shuts_its_server_out(self) -> None:
        """Guards against servers that lose some attempts: those stood as open until their deadline, and the
        lane let in ever less, though the servers answered all others at once."""
        d = Driver(settings(limits=COPIES), backends=1)
        lost = next(a for a in d.send_request() if isinstance(a, i.StartAttempt))
        for _ in range(60):
            for send in [a for a in d.send_request() if isinstance(a, i.StartAttempt) and a.id != lost.id]:
                d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.05, True))
            d.run(0.04)
        self.assertIn(lost.id, d.engine.pending)
        self.assertEqual(d.engine.premium.open_attempts + d.engine.basic.open_attempts, 0)
        self.assertEqual(d.engine.selector.backends["s0"].open_attempts, {})
        pace = d.engine.selector.backends["s0"].latency_ratio
        d.feed(i.AttemptEnded(lost.id, 0, "s0", "timeout", 3.0, True))
        self.assertEqual(d.engine.premium.open_attempts + d.engine.basic.open_attempts, 0)
        self.assertEqual(d.engine.selector.backends["s0"].latency_ratio, pace)

    def test_attempts_at_a_server_that_fell_silent_do_not_close_the_lane_while_others_answer(self) -> None:
        """Guards against servers that vanish or hang: what was open there held up what others would serve. Of
        a class that is unsafe to repeat too, which gets no second attempt. None is lost if nobody answers."""
        for answering in (True, False):
            d = Driver(settings(limits=COPIES))
            asked = [
                a
                for n in range(4)
                for a in d.send_request(class_index=n % 2)
                if isinstance(a, i.StartAttempt)
            ]
            lost = [a for a in asked if a.backend == "s0"]
            self.assertTrue(lost)
            for _ in range(80):
                sent = [a for a in d.send_request() if isinstance(a, i.StartAttempt)]
                if answering:
                    well = [a for a in sent if a.backend == "s1"]
                    d.feed(*(i.AttemptEnded(a.id, 0, a.backend, "ok", 0.05, True) for a in well))
                d.run(0.04)
            held = [
                a.id
                for a in lost
                if a.id in d.engine.pending and d.engine.pending[a.id].attempts[0].counts_as_open
            ]
            self.assertEqual(bool(held), not answering)
            for a in lost:
                if (ticket := d.engine.pending.get(a.id)) and ticket.request_class.effect == "once":
                    self.assertEqual(len(ticket.attempts), 1)

    def test_a_large_attempt_that_is_overtaken_a_little_stays_open(self) -> None:
        d = Driver(settings(limits=COPIES), backends=1)
        large = next(a for a in d.send_request() if isinstance(a, i.StartAttempt))
        d.now += 0.05
        other = next(a for a in d.send_request() if isinstance(a, i.StartAttempt))
        d.feed(i.AttemptEnded(other.id, 0, "s0", "ok", 0.05, True))
        d.run(0.6)
        self.assertTrue(d.engine.pending[large.id].attempts[0].counts_as_open)
        self.assertIn((large.id, 0), d.engine.selector.backends["s0"].open_attempts)


class Kept(unittest.TestCase):
    def test_accounts_of_customers_that_came_once_do_not_pile_up(self) -> None:
        d = Driver(settings(plans=[RATED_PLAN], accounting=i.Accounting(counter=True, settles_usage=True)))
        for number in range(600):
            d.send_request(customer=f"c{number}")
            for count in [a for a in d.run(0.1) if isinstance(a, i.AddToCounter)]:
                d.feed(i.CounterReply(count.name, "ok", count.amount, 0.01))
            # settled when its units have long been counted
            for send in d.actions_of(i.StartAttempt)[-30:-29]:
                d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.05, True, settled_units=1.5))
        self.assertLess(len(d.engine.quota.accounts), 300)
        self.assertIn(
            d.engine.quota.account_for_request(d.request(customer="c599"), RATED_PLAN, d.now),
            d.engine.quota.accounts.values(),
        )
        self.assertLess(len(d.engine.quota.call_queue), 10)


if __name__ == "__main__":
    unittest.main()
