"""The decisions of a gatekeeper: one instance, no I/O, no clock, no global randomness.

Types: ``interface.py``. Ordinary path: "Web2K: Bringing QoS to Web Servers", 3.3; docs/design.md."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from statistics import median_high
from typing import Any

from gorsefork.decisions import interface as i
from gorsefork.decisions.state import Accounts, Attempt, Backlog, Ledger, Line, Note, Server, Servers, Ticket

PERIOD, PERIODS_AN_AIM = 0.25, 10  # s, the longest control period T (the paper's); shortest aim / T at least
GAIN, INTEGRAL_TIME = 1.0, 1.0  # K and Ti (s) of the PI law: an error is made good within about Ti
LOOK_AHEAD = 12  # premium waits that leave before one basic (the paper's look-ahead)
AIM_SHARE = 0.2  # of the aim that the mean answer may take under load: the rest is for the slow tail
HOLD_SHARE, IDLE_SHARE = 0.5, 0.5  # of the aim that a request may be held; of target_q that is idle
HOLD_LEFT = 0.45  # of its own time: a refusal is to leave well before half of that is over
LEAST_OPEN, PROMPT_OPEN, STRAIN_MAX = 4.0, 4.0, 5.0  # always open a server by all; here if prompt; its limit
CHANCE_OPEN = 2.0  # standard deviations of it by which one gatekeeper's part may be more
COLD_DUTY, COLD_FIRST = 1.2, 0.5  # of a warm one's load, by its least warmth; of its cost: tokens go unused
RETRY_SHARE, RETRY_DEPTH = 0.2, 10.0  # retry budget: its fill for each first attempt, and what it holds
SMOOTH, RECALL = 0.1, 2.0  # weight of one new sample in a moving mean; s from which it weighs more
SLOW_MULTIPLE, ERROR_SHARE = 2.5, 0.3  # times peers' latency, failures beyond theirs: passed by
TRICKLE, FORGET = 1.0, 10.0  # s between trials of a silent server; life of a suspicion or 'full' not renewed
TRIALS = 4.0  # of one suspect in a second, by all gatekeepers together
FADE, ASSESS = 0.99, 0.5  # of an unsampled server's latency kept at each look; s between looks
GOLDEN, TURN, ABREAST = 0.6180339887, 1 / 3, 4.0  # of a turn, a place; of the fall window, a token; tokens
CHOICES, CHOICES_MOST, COVER = 10, 20, 14  # servers looked at for one choice; gatekeepers that look at one
LOOKS, WIDER = 256, 64  # servers that one step looks at; more than the few, where these are unfit
CALLS_START, CALLS_LEAST = 20.0, 1.0  # counter calls a second: before anything is learned; when it is silent
CALLS_ALL, CALLS_ALL_LEAST = 300.0, 200.0  # the same by all gatekeepers together, if that is less each
CALLS_RISE, CALLS_GAIN = 20.0, 0.03  # calls a second gained in a second of answers; of the rate by one
CALLS_CUT, CALLS_PAUSE, CALLS_DEPTH = 0.8, 0.5, 0.25  # kept after a miss; s between cuts; s of calls at once
LEAST_WAIT, ASK_WAIT, ASKS = 0.02, 0.06, 2  # s between looks at one customer's room; for its keeper's word
FLUSH_SHARE, FLUSH_ALL = 0.125, 0.5  # of a span that adds may wait; where one gatekeeper sees all tries
RESERVE, NAME_LIFE_MAX = 0.15, 60.0  # of the burst kept back for adds not yet seen; s that a count may live
ASK, YES, NO, BACK = b"a", b"y", b"n", b"b"  # notes: a try to count; the keeper's word; units or a place free
NEVER_RAN = frozenset(("full", "connect_failed", "moot"))


def may_repeat(cls: i.RequestClass) -> bool:
    return cls.effect == "repeatable" or (cls.effect == "by_key" and cls.scope == "all")


class Fleet(Servers):
    """Which of the servers are fit for work, and the choice of one. A step looks at a bounded number."""

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        super().__init__(GOLDEN * settings.me % 1.0)
        self.settings, self.rng = settings, rng
        self.barred, self.overtook = 0.0, -math.inf  # share of new connections that failed; as a server's
        self.carry, self.warm_sends, self.pace, self.errors = 0.0, 0.0, 1.0, 0.0
        self.service = {n: (c.aim / 8, c.aim / 16) for n, c in enumerate(settings.classes)}  # mean, deviation
        self.assessed_at, self.work = -math.inf, min(c.aim for c in settings.classes) / 8  # mean of all
        self.few, self.rest = 0, max(TRICKLE, settings.gatekeepers / TRIALS)  # to choose of; s between trials

    def restart(self, server: Server, since: float) -> None:
        """Guards against pushing over what has just come back, told or only seen."""
        server.cold_from = max(server.cold_from, since)
        server.credit = GOLDEN * self.place(server) % 1.0  # all that look at it have a first token in turn
        server.silent, server.errors, server.pace = False, 0.0, self.pace

    def warmth(self, server: Server, now: float) -> float:
        guards, age = self.settings.guards, max(0.0, now - server.cold_from)
        grown = age / guards.ramp if age < guards.ramp else 1.0
        return guards.cold_share + (1.0 - guards.cold_share) * grown

    def cold_room(self, server: Server, now: float) -> bool:
        """Slow start, in whole tokens. So few deal them that their rates and one each fit the budget."""
        warmth = self.warmth(server, now)
        if warmth >= 1.0 or (place := self.place(server)) >= self.few:  # it has no part in those it skips
            return warmth >= 1.0
        lookers = self.settings.gatekeepers * self.few / len(self.ready)  # that deal its part
        many = lookers > ABREAST  # so that what all have saved might come at once: tokens lapse
        able, guards = warmth * max(self.carry, 1.0 / lookers / self.work), self.settings.guards
        rate, window = (COLD_DUTY if many else 1.0) * able, guards.fall_window
        if many:
            budget = guards.fall_multiple * able * lookers * window
            spare = budget + 2.0 * math.sqrt(budget) - rate * lookers * (1.0 + TURN) * window
            if place >= (places := max(1, int(min(1.0, spare / lookers) * self.few))):
                return False
            rate *= self.few / places
        credit = server.credit + rate * max(0.0, now - max(server.filled_at, server.cold_from))
        late = credit % 1.0 if many else 0.0  # since its turn
        server.credit = min(credit, late + (late < rate * TURN * window))
        server.filled_at = now
        return server.credit >= 1.0

    def listed(self, news: i.ServerList, now: float) -> None:
        for server in self.merge(news):
            if server.on_ring and server.entry.started > max(0.0, server.cold_from):
                self.restart(server, server.entry.started)  # a new process, maybe under an old name
        self.narrow(now)

    def assess(self, now: float) -> None:
        """Peers' medians, silence and suspicion, now and then: of all, in a large fleet of those in use."""
        period = now - self.assessed_at
        if period < ASSESS:
            return
        self.assessed_at = now
        warm = self.total(lambda s: self.warmth(s, now) >= 1.0, self.few, LOOKS)  # those that its sends go to
        rate, self.warm_sends = self.warm_sends / period / max(1, warm), 0.0
        self.carry += min(1.0, SMOOTH * period / PERIOD) * (rate - self.carry)
        self.barred *= max(0.0, 1.0 - period / FORGET)
        live = self.turn(LOOKS) if len(self.ready) > LOOKS else self.ready
        self.pace = median_high([s.pace for s in live] or [1.0])
        self.errors = median_high([s.errors for s in live] or [0.0])
        for server in live:  # no answer of any kind since long before: not slow but silent
            sent_at, expected = server.oldest(now)
            if now - sent_at > 5.0 * expected * max(1.0, self.pace) and server.answered_at < sent_at:
                server.silent = True
            elif not server.open and now - server.sampled_at > FORGET:  # or what mended would never be tried
                server.pace = min(FADE * server.pace, self.pace)
                server.errors = min(server.errors, self.errors)
                self.used.pop(server, None)
        self.narrow(now)

    def narrow(self, now: float) -> None:
        """So many in its order that the fit among them bear its part, a cold one by its warmth; bounded."""
        many, self.few = len(self.ready), 0
        left = min(many, max(CHOICES, COVER * many / self.settings.gatekeepers))
        each = max(1, math.ceil(left / LOOKS))
        while left > 0.0 and self.few < min(many, 2 * LOOKS * each):
            server, self.few = self.ready[self.few], min(many, self.few + each)
            left -= 0.0 if self.suspect(server, now) else each * self.warmth(server, now)

    def suspect(self, server: Server, now: float) -> bool:
        """Relative to its peers, so that a slowdown of all ejects nobody; silence alone is absolute."""
        slow = server.slowness(now) > SLOW_MULTIPLE * max(self.pace, 0.5)
        failing = server.errors > self.errors + ERROR_SHARE
        return slow or failing or server.silent or server.barred_until > now or server.entry.state != "ready"

    def drawn(self, ticket: Ticket, now: float) -> list[Server]:
        """A lasting few, whose connections and figures keep, in a turn by chance; all for another attempt. In
        a large fleet, for that or where none of those is fit, some more of all that the request may have."""
        if ticket.attempts and len(self.ready) <= LOOKS:
            return self.rng.sample(self.ready, len(self.ready))
        drawn = [self.ready[n] for n in self.rng.sample(range(self.few), min(self.few, CHOICES_MOST))]
        if len(self.ready) > LOOKS and (ticket.attempts or all(self.suspect(s, now) for s in drawn)):
            more = self.group(ticket.cls.scope, ticket.may_have_run())
            drawn += self.rng.sample(more, min(len(more), WIDER))
        return drawn

    def pick(self, ticket: Ticket, now: float) -> Server | None:
        """The least expected latency of the fit that were drawn, else the suspects. Now and then one of those
        is tried first, where a second copy can follow: what gets nothing would stay shut out."""
        best, least = None, math.inf
        trial = not ticket.attempts and self.settings.limits.second_copies and may_repeat(ticket.cls)
        tried, kind = {a.server for a in ticket.attempts}, (ticket.request.cls, ticket.request.plan)
        for server in self.drawn(ticket, now):
            cost = self.cost(server, now) * (4.0 if server in tried else 1.0)
            if server.full and server.full.get(kind, -math.inf) > now:
                cost *= 1e3
            if self.suspect(server, now):
                cost *= 1e9 if server.silent else 1e6
                if trial and len(server.open) < 2 and now - server.tried_at > self.rest:
                    cost, server.tried_at, trial = 0.0, now, False
            if cost < least and may_send(ticket, server, now, self.settings) and self.cold_room(server, now):
                best, least = server, cost
        return best

    def linked(self, server: Server, now: float) -> bool:
        return now - server.answered_at < self.settings.limits.keepalive

    def connected(self, server: Server, sent_at: float, made: bool, now: float) -> None:
        """Guards against servers that take no new connections, are dead or cut off: a failure passes it by,
        at first briefly; several keep to those that answered of late. Harm: a few carry more."""
        server.unmet = 0 if made else server.unmet + 1
        if not made:
            pause = min(FORGET, TRICKLE / 2.0 * 2.0 ** min(server.unmet, 10))
            server.barred_until = now + pause * self.rng.uniform(0.5, 1.5)
        if not self.linked(server, sent_at):
            self.barred = self.barred / 2.0 if made else self.barred + 2.0 * SMOOTH * (1.0 - self.barred)

    def cost(self, server: Server, now: float) -> float:
        weight = server.entry.weight if self.settings.weights != "off" and server.entry.weight > 0 else 1.0
        crossing = 1.0 + 10.0 * self.settings.cross_zone_price * (server.entry.zone != self.settings.zone)
        barred = 0.0 if self.linked(server, now) else self.barred / (1.05 - self.barred)
        idle = 1.0 if self.warmth(server, now) >= 1.0 else COLD_FIRST
        load = idle + len(server.open) * self.settings.gatekeepers / (weight * 2.0)
        cost = server.slowness(now) * load * crossing / max(0.05, 1.0 - server.errors) ** 2
        return cost + barred * self.settings.limits.connect_timeout / self.work


def may_send(ticket: Ticket, server: Server, now: float, settings: i.Settings) -> bool:
    """Whether a further attempt at this server keeps the effect rules. Every send passes here."""
    limits, scope, here = settings.limits, ticket.cls.scope, server.entry
    if ticket.closed or ticket.streaming or now >= ticket.ends or server.entry.state != "ready":
        return False
    if len(ticket.attempts) >= limits.max_attempts or (ticket.open_attempts() and not limits.second_copies):
        return False
    ran = ticket.may_have_run()
    if not ran or ticket.cls.effect == "repeatable":
        return True
    if ticket.cls.effect == "once" or now + 2 * settings.step >= ticket.repeat_by():
        return False
    return scope == "all" or all(a.zone == here.zone if scope == "zone" else a.cell == here.cell for a in ran)


def may_refuse(ticket: Ticket) -> bool:
    """Whether 'trying again is harmless' is true. Every refusal passes here."""
    return not ticket.streaming and (may_repeat(ticket.cls) or not ticket.may_have_run())


class Lane:
    """The PI law of one worth lane and its discard queue: those inside their quota, then beyond."""

    def __init__(self) -> None:
        self.open = self.sent = self.arrived = 0
        self.error, self.room, self.chance, self.held = 0.0, math.inf, 1.0, Backlog(2)

    def allow(self, target: float, period: float, dither: float) -> None:
        """target_in. A lull never throttles; with none open a part of a request is rounded by chance."""
        error = target - self.open
        law = max(0.0, error, self.sent + GAIN * (1.0 + period / INTEGRAL_TIME) * error - GAIN * self.error)
        self.room = law if self.open else math.floor(law + dither)
        self.error, self.sent = error, 0

    def settle_chance(self) -> None:
        """1 if none came, but only while there is room: or of hundreds with a request a second nearly all
        would pass whatever is open. Harm: a first request after a jam waits a period."""
        self.chance, self.arrived = min(1.0, self.room / max(1, self.arrived)), 0


class Capacity:
    """Learns target_q: answers a second times the part of the aim that an answer may take (Little's law)."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings, self.aim = settings, min(c.aim for c in settings.classes)
        self.rate, self.peak, self.target, self.answers, self.strain = 0.0, 0.0, math.inf, 0, 0.0

    def ended(self, aim: float, latency: float, answered: bool) -> None:
        """What got no answer in time strains too: or the more is lost, the quicker all seems."""
        self.answers += answered
        self.aim += SMOOTH * (aim - self.aim)
        self.strain += 2.0 * SMOOTH * (min(STRAIN_MAX, latency / (AIM_SHARE * aim)) - self.strain)

    def tick(self, load: int, ready: float, period: float) -> None:
        """A lull teaches nothing: the rate falls only under pressure. A few open need only be prompt."""
        self.rate += SMOOTH * (self.answers / period - self.rate)
        self.answers = 0
        self.peak = max(self.rate, self.peak + SMOOTH * (load > self.target * 0.8) * (self.rate - self.peak))
        least = LEAST_OPEN * max(1.0, ready) / self.settings.gatekeepers
        least += CHANCE_OPEN * math.sqrt(least)  # the smaller a part, the more of it comes by chance
        self.target = max(self.peak * AIM_SHARE * self.aim, least, PROMPT_OPEN / max(1.0, self.strain) ** 3)


class Account(Ledger):
    """One customer's quota as this gatekeeper knows it, its ceiling part and the requests that wait."""

    def __init__(self, tag: str, spread: int, first: int, settings: i.Settings, plan: i.Plan, now: float):
        super().__init__(plan, now)
        self.tag, self.spread = tag, spread
        self.part, self.level, self.mine = 1.0 / self.spread, plan.burst, plan.burst / self.spread
        self.place = (settings.me - first) % settings.gatekeepers  # the first get what does not divide
        self.shape(plan)

    def shape(self, plan: i.Plan) -> None:
        self.slots = max(1, (plan.parallel - self.place + self.spread - 1) // self.spread)
        self.span = min(plan.burst / plan.rate if plan.rate else 1.0, NAME_LIFE_MAX / 2.5)
        self.phase = self.span * int(self.tag[:4], 16) / 65536.0  # or all customers would ask at once
        # s that adds may wait, and that a part is good for; who sees all tries needs few calls
        self.flush = min(1.0, FLUSH_SHARE * self.span) if self.spread > 1 else FLUSH_ALL * self.span
        self.kept = RESERVE * plan.burst if self.spread > 1 else 0.0

    def change(self, plan: i.Plan, now: float) -> None:
        """Other terms in the middle of a burst: what is spent stays spent, of the quota and of the ceiling,
        so that no order of changes gives a second burst. The store may stand below nothing for a while."""
        self.refill(now)
        old, span, spent = self.plan, self.span, max(0.0, self.plan.burst - self.level)
        owed = max(0.0, self.part * old.burst - self.mine)  # the same of this gatekeeper's part
        drawn = old.ceiling_burst / self.spread - self.ceiling if old.ceiling_rate > 0 else owed
        self.plan = plan
        self.shape(plan)
        self.level, self.mine = plan.burst - spent, self.part * plan.burst - owed
        self.ceiling = plan.ceiling_burst / self.spread - max(0.0, drawn)
        if (self.span, plan.series) != (span, old.series):  # its counts have new names, at 0
            self.carried, self.carried_at = max(0.0, spent - self.pending), now
            self.epoch = self.short = -1

    def deal(self, sender: int, note: Note, lease: float, now: float) -> bool:
        """Whether there is room for a peer's try, which then takes it. The same word where it is asked again:
        the first may have been lost, and is not to be paid for twice."""
        if (sender, note.serial) not in self.words:
            free = not self.plan.parallel or self.out(now) < self.slots
            good = free and (not self.plan.rate or self.mine >= note.amount)
            self.words.put((sender, note.serial), good)
            if good:
                self.spend(note.amount)
                self.leases.append(now + lease)
        return self.words[sender, note.serial]

    def whole(self) -> bool:  # or the part rounds to nothing, and only a span's total tells of room
        return self.part * self.plan.burst >= 1.0

    def refill(self, now: float) -> None:
        elapsed, self.at = 0.0 if self.handed else now - self.at, now
        gained = self.plan.rate * elapsed if self.whole() else 0.0
        self.level = max(self.level, min(self.plan.burst, self.level + gained))
        cap = max(self.part * self.plan.burst, min(self.plan.burst, 1.0))
        self.mine = max(self.mine, min(cap, self.mine + self.part * self.plan.rate * elapsed))
        grown = self.ceiling * self.spread + self.plan.ceiling_rate * elapsed
        self.ceiling = min(self.plan.ceiling_burst, grown) / self.spread

    def read(self, total: float, now: float) -> None:
        """A span's total says what it has left, and which part of the traffic comes this way."""
        amount, self.read_at = max(0.0, self.call[1]), now
        others, self.seen = max(0.0, total - self.seen - amount), total
        self.own, self.others = 0.9 * self.own + amount, 0.9 * self.others + others
        if self.whole() or self.epoch != self.call[0]:  # or called for before a change of terms
            self.level -= others
            self.carried += others * (self.epoch != self.call[0])
        else:
            self.level = self.plan.burst - total - self.pending - self.carries(now)
        self.part = (self.own + 1.0) / (self.own + self.others + self.spread)
        self.mine = self.part * max(0.0, self.level - self.kept)


class Quota:
    """The quota companion: batched counts, own part of the room between reads, silence judged alone."""

    def __init__(self, settings: i.Settings, rng: random.Random, out: list[i.Action]) -> None:
        self.settings, self.rng, self.out = settings, rng, out
        self.accounts = Accounts()
        self.asked, self.serial = dict[int, Ticket](), 0  # tries that wait for the word of a keeper
        self.started, self.misses, self.pumping, self.handed = 0.0, 0, False, False
        self.least = min(CALLS_LEAST, CALLS_ALL_LEAST / settings.gatekeepers)
        self.rate, self.credit = min(CALLS_START, CALLS_ALL / settings.gatekeepers), 1.0
        self.share = dict.fromkeys((plan.name for plan in settings.plans), 0.5)  # of tries borne out
        self.places = {plan.name: place for place, plan in enumerate(settings.plans)}
        self.safe, self.filled_at, self.cut_at = 0.0, -math.inf, -math.inf  # safe: the rate before a miss
        self.due = Line()  # accounts that want a call: calls are short, so the dearest waits come first

    def account(self, tag: str, spread: int, first: int, plan: i.Plan, now: float) -> Account:
        if (account := self.accounts.get(tag)) is None:
            account = self.accounts[tag] = Account(tag, spread, first, self.settings, plan, now)
            # Another life of this process may have drawn on the ceiling: it counts as empty at the start.
            lived, account.handed = 0.0 if self.handed else now - self.started, self.handed
            account.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * lived) / spread
        elif account.plan != plan:
            account.change(plan, now)
        account.refill(now)
        self.accounts.move_to_end(tag)
        self.accounts.forget(now)
        return account

    def of(self, request: i.Request, plan: i.Plan, now: float) -> Account:
        """Where a part is less than a try and peers can be told, one of the set keeps the account for all."""
        tag, many = Accounts.tag_of(request.customer), max(1, request.spread)
        least = min(plan.burst if plan.rate else math.inf, plan.parallel or math.inf)
        pooled = self.settings.limits.peer_messages and least < many <= self.settings.gatekeepers
        keeper = (request.first + int.from_bytes(tag, "little") % many) % self.settings.gatekeepers
        here = keeper == self.settings.me
        account = self.account(tag.hex(), 1 if pooled and here else many, request.first, plan, now)
        account.keeper = keeper if pooled and not here else None
        account.own_terms = request.terms is not None
        return account

    def changed(self, event: i.Terms, now: float) -> Account | None:
        if account := self.accounts.get(Accounts.tag_of(event.customer).hex()):
            account.own_terms = event.terms is not None
            account.change(event.terms or account.plan, now)
        return account

    def tell(self, peer: int, kind: bytes, account: Account, amount: float, serial: int) -> None:
        note = Note(kind, account.tag, self.places[account.plan.name], amount, serial)
        self.out.append(i.Tell(peer, note.packed()))

    def ask(self, ticket: Ticket) -> bool:
        """Ask the keeper; without a word once more, as notes are lost. Then it goes on alone: keepers die."""
        if ticket.account.keeper is None or ticket.asks == ASKS:
            return False
        if not ticket.serial:  # one that no other life of this gatekeeper has used
            self.serial += 1
            ticket.serial = int(1000.0 * self.started + self.serial) % 2**32
        ticket.held, ticket.asks, self.asked[ticket.serial] = True, ticket.asks + 1, ticket
        self.tell(ticket.account.keeper, ASK, ticket.account, ticket.request.units, ticket.serial)
        self.out.append(i.SetTimer(f"a:{ticket.serial}", ASK_WAIT))
        return True

    def heard(self, event: i.PeerMessage, lease: float, now: float) -> Ticket | None:
        """A note; the try that it answers. A place whose end is never told is free after its lease."""
        note = Note.read(event.data, len(self.settings.plans))
        if note is None or not 0 <= event.sender < self.settings.gatekeepers:
            return None
        if note.kind in (YES, NO):
            ticket, yes = self.asked.pop(note.serial, None), note.kind == YES
            if ticket:
                self.share[ticket.plan.name] += SMOOTH * (yes - self.share[ticket.plan.name])
            if ticket and yes and ticket.waits():
                self.reserve(ticket, True, now)
            elif ticket and not yes:
                ticket.back_in, ticket.account.short = note.amount, ticket.account.epoch_at(now)
            return ticket
        known, plan = self.accounts.get(note.tag), self.settings.plans[note.plan]
        plan = known.plan if known and known.own_terms else plan  # the keeper's word, also on the terms
        account = self.account(note.tag, 1, self.settings.me, plan, now)
        if note.kind == BACK:
            account.spend(-note.amount)
            account.leases.popleft() if account.leases else None
        elif note.kind == ASK:
            good, rate = account.deal(event.sender, note, lease, now), account.plan.rate
            self.set_timer(account, account.flush)
            room_in = max(0.0, note.amount - account.mine) / rate if rate else lease
            self.tell(event.sender, YES if good else NO, account, room_in, note.serial)
        return None

    def usable(self) -> bool:
        prompt = len(self.due) < self.rate * CALLS_DEPTH
        return prompt and self.misses < 2 and self.settings.accounting.counter

    def fits(self, ticket: Ticket, claim: bool, now: float) -> bool:
        """Room for a try: the own part, dealt lately or if alone; or all that is left, for a claim."""
        account, plan, units = ticket.account, ticket.account.plan, ticket.request.units
        if plan.rate > 0:
            old = self.usable() and account.spread > 1 and account.flush < now - account.read_at < math.inf
            left = account.level - min(account.kept, plan.burst - units)
            room = left if claim else 0.0 if old else account.mine
            if room < units and (claim or not self.lone(ticket, now)):
                return False
        return self.under_ceiling(ticket) and (not plan.parallel or account.out(now) < account.slots)

    def lone(self, ticket: Ticket, now: float) -> bool:
        """The counter silent and the part of no try: one a span, where it gains. Heavy ones go beyond."""
        account, share = ticket.account, self.share[ticket.plan.name]
        short = account.short >= account.epoch_at(now) - 1 or ticket.request.retry or account.whole()
        gains = share > (1.0 - share) * account.plan.over_cost
        return self.misses >= 2 and gains and not short and now - account.lent_at > account.span

    def under_ceiling(self, ticket: Ticket) -> bool:
        return ticket.account.plan.ceiling_rate <= 0 or ticket.account.ceiling >= ticket.request.units

    def reserve(self, ticket: Ticket, inside: bool, now: float) -> None:
        account, units = ticket.account, ticket.request.units
        ticket.inside, ticket.reserved, ticket.plan = inside, True, account.plan  # settled as it was taken
        if inside and ticket.plan.rate > 0 and not ticket.serial:  # the keeper counts for those that ask it
            account.spend(units)
            account.lent_at = now if account.mine < 0.0 else account.lent_at
            if account.mine < 2.0 * units and account.spread > 1:
                self.report(account, now)
            else:
                self.set_timer(account, account.flush)
        account.ceiling -= units
        account.open += 1

    def give_back(self, ticket: Ticket) -> None:
        """A reserved try that was never sent draws nothing."""
        if ticket.reserved and not ticket.attempts:
            ticket.account.ceiling += ticket.request.units
            self.back(ticket, ticket.request.units if ticket.inside else 0.0)
        elif ticket.reserved and ticket.serial and ticket.plan.parallel:
            self.back(ticket, 0.0)
        ticket.account.open -= ticket.reserved
        ticket.reserved = False

    def settle(self, ticket: Ticket, billed: float) -> None:
        if self.settings.accounting.settles and billed > 0 and ticket.inside and ticket.plan.rate > 0:
            self.back(ticket, ticket.request.units - billed)

    def back(self, ticket: Ticket, units: float) -> None:
        """Units return to where they were taken, and an open try's place with them."""
        if ticket.serial and ticket.account.keeper is not None:
            self.tell(ticket.account.keeper, BACK, ticket.account, units, 0)
        else:
            ticket.account.spend(-units)

    def wait(self, ticket: Ticket, now: float) -> bool:
        """Hold a try for room, dearest a unit first; False if its customer's span is used up."""
        account, epoch = ticket.account, ticket.account.epoch_at(now)
        late = (epoch + 1) * account.span - account.phase > ticket.hold_until  # no new span in time
        spent = late and account.epoch == epoch and account.level < account.waits.units + ticket.request.units
        if account.plan.rate > 0 and not account.whole() and (spent or account.short == epoch):
            return False
        ticket.held = True
        account.waits.push(ticket)
        self.report(account, now)
        self.arm(account)
        return True

    def top(self, account: Account, claim: bool, now: float) -> Ticket | None:
        if (ticket := account.waits.top()) is None or not self.fits(ticket, claim, now):
            return None
        account.waits.pop()
        self.reserve(ticket, True, now)
        return ticket

    def release(self, account: Account, now: float) -> Iterator[Ticket]:
        while (ticket := self.top(account, False, now)) is not None:
            ticket.held = False
            yield ticket
        self.arm(account)

    def confirm(self, account: Account, status: str, now: float) -> Iterator[tuple[Ticket, bool]]:
        """Each claim, and whether the answer bears it out, or, with no answer, what is judged alone."""
        claims, account.claims = account.claims, []
        for ticket in reversed(claims):
            good = (account.level if status == "ok" else account.mine) >= -1e-6
            if status == "ok":
                self.share[ticket.plan.name] += SMOOTH * (good - self.share[ticket.plan.name])
            if good or not ticket.waits() or (status != "ok" and self.lone(ticket, now)):
                yield ticket, True
                continue
            self.give_back(ticket)
            if status == "ok":
                account.short, account.mine = account.epoch, 0.0
            if status == "timeout" or (status == "ok" and not account.whole()):  # added: not taken back
                account.pending += ticket.request.units
            if not self.wait(ticket, now):
                yield ticket, False

    def arm(self, account: Account) -> None:
        if (ticket := account.waits.top()) and not account.calling:
            rate = max(1e-9, account.plan.rate * account.part)
            delay = (ticket.request.units - account.mine) / rate if account.plan.rate else 0.0
            self.set_timer(account, max(LEAST_WAIT, min(account.flush, delay)))

    def set_timer(self, account: Account, delay: float) -> None:
        if not account.timed:
            account.timed = True
            self.out.append(i.SetTimer(f"q:{account.tag}", delay))

    def report(self, account: Account, now: float) -> None:
        wanted = self.settings.accounting.counter and account.plan.rate > 0
        rank = dearest.rank if (dearest := account.waits.top()) else 0.0
        if wanted and not account.calling and rank < account.due:
            self.due.push(rank, account)
            self.pump(now)

    def pump(self, now: float) -> None:
        """Calls go as the counter was seen to bear: no flood of a slow one; counts age for a while after."""
        gained, self.filled_at = self.rate * min(1.0 / self.least, now - self.filled_at), now
        self.credit = min(max(2.0, self.rate * CALLS_DEPTH), self.credit + gained)
        while self.due and self.credit >= 1.0:
            self.credit -= 1.0
            self.call(self.due.pop(), now)
        if self.due and not self.pumping:
            self.pumping = True
            pause = (1.0 - self.credit) / self.rate * self.rng.uniform(0.5, 1.5)  # or all would keep in step
            self.out.append(i.SetTimer("pump", pause + self.settings.step))

    def call(self, account: Account, now: float) -> None:
        epoch, account.calling = account.epoch_at(now), True
        if account.epoch < epoch:
            fresh = account.plan.burst - account.pending - account.carries(now)
            account.level = account.level if account.whole() else fresh
            account.epoch, account.seen = epoch, 0.0
        while (ticket := self.top(account, True, now)) is not None:
            account.claims.append(ticket)
        amount, account.calling = account.pending, account.pending != 0.0
        if account.calling:
            account.pending, account.call = 0.0, (account.epoch, amount)
            account.call_name = f"{account.tag}{account.plan.series}.{account.epoch:x}"
            self.out.append(i.Count(account.call_name, amount, 2.5 * account.span))
        else:  # a call that only reads tells too little to be worth its price
            self.credit += 1.0
            self.arm(account)

    def paced(self, answered: bool, now: float) -> None:
        if not answered:
            self.safe = self.safe if self.misses else self.rate * CALLS_CUT
            if now - self.cut_at > CALLS_PAUSE:
                self.rate = max(self.least, self.rate * (0.5 if self.misses else CALLS_CUT))
                self.cut_at = now
            self.misses += 1
        else:
            self.misses = 0
            if self.due or self.credit < 2.0:  # what is not used shows nothing
                self.rate += min(1.0, CALLS_RISE / self.rate, CALLS_GAIN * self.rate)
                self.rate = max(self.rate, (self.rate + self.safe) / 2.0)

    def counted(self, event: i.Counted, now: float) -> Account | None:
        """Take an answer; the account whose waits may go on, or None if it is not known."""
        account = self.accounts.get(event.name[:16])
        if account is None or not account.calling or event.name != account.call_name:
            return None
        account.calling = False
        account.refill(now)
        self.paced(event.status == "ok", now)
        if event.status == "ok":
            account.read(event.total, now)
        elif event.status != "timeout":  # a timed-out add may have been made: it is not made again
            account.pending += account.call[1]
            account.carried -= account.call[1] * (account.epoch != account.call[0])
        return account

    def timer(self, tag: str, now: float) -> Account | None:
        if account := self.accounts.get(tag):
            account.timed = False
            account.refill(now)
            self.report(account, now)
        return account


class Gatekeeper:
    """One gateway's decisions. ``handle`` takes events in order and returns the actions to carry out."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        i.check(settings)
        self.settings, self.rng = settings, random.Random(seed)
        self.out: list[i.Action] = []
        self.fleet, self.capacity = Fleet(settings, self.rng), Capacity(settings)
        self.quota = Quota(settings, self.rng, self.out)
        self.premium, self.basic = Lane(), Lane()
        self.period = min(PERIOD, min(c.aim for c in settings.classes) / PERIODS_AN_AIM)
        self.tickets: dict[str, Ticket] = {}
        self.cut_off, self.budget, self.list_misses, self.suspended = 0.0, RETRY_DEPTH, 0, False
        self.now, self.begun, self.ticking, self.plain = 0.0, False, False, i.Plan("none")
        self.takers: dict[type, Callable[[Any], None]] = {
            i.Request: self.arrive,
            i.Outcome: self.outcome,
            i.Timer: self.timer,
            i.Counted: self.counted,
            i.ServerList: self.listed,
            i.Started: self.began,
            i.Gone: self.left,
            i.PeerMessage: self.heard,
            i.Terms: self.changed,
            i.Suspend: self.suspend,
            i.Closing: self.closing,
        }

    def handle(self, now: float, events: Iterable[i.Event]) -> Sequence[i.Action]:
        self.now = now
        self.out.clear()
        if not self.begun and self.settings.subscribe:
            self.out.append(i.Watch(True))
        self.quota.started, self.begun = self.quota.started if self.begun else now, True
        for event in events:
            if take := self.takers.get(type(event)):
                take(event)
        return list(self.out)

    def began(self, event: i.Started) -> None:
        if ticket := self.tickets.get(event.id):
            ticket.streaming = True

    def left(self, event: i.Gone) -> None:
        if ticket := self.tickets.get(event.id):
            self.end(ticket, None)

    def closing(self, event: i.Closing) -> None:
        for ticket in [t for t in self.tickets.values() if not t.closed and not t.streaming]:
            self.give_up(ticket)

    def counted(self, event: i.Counted) -> None:
        if account := self.quota.counted(event, self.now):
            for claim, borne_out in list(self.quota.confirm(account, event.status, self.now)):
                self.judged(claim, borne_out)
            self.admit_waits(account)

    def arrive(self, request: i.Request) -> None:
        if not 0 <= request.cls < len(self.settings.classes) or request.id in self.tickets:
            return
        if self.suspended:
            self.out.append(i.Refuse(request.id, self.settings.limits.longest_retry_after()))
            return
        known, cls = 0 <= request.plan < len(self.settings.plans), self.settings.classes[request.cls]
        plan = request.terms or (self.settings.plans[request.plan] if known else self.plain)
        account = self.quota.of(request, plan, self.now)
        wanted = min(cls.aim + cls.aim_stretch * self.fleet.service[request.cls][0], request.left)
        late = wanted - 2.0 * self.fleet.service[request.cls][0]  # but a period: a keeper is asked first
        hold = min(HOLD_SHARE * wanted, HOLD_LEFT * request.left, max(self.period, late))
        worth = cls.worth * plan.price * request.units
        lane = self.premium if worth >= self.cut_off else self.basic
        self.cut_off += SMOOTH / 5 * (worth - self.cut_off)
        ticket = Ticket.opened(request, cls, plan, account, lane, self.now, wanted, hold)
        self.tickets[ticket.id] = ticket
        self.set_timer("d", request.id, max(0.0, request.left - self.settings.step))
        self.set_timer("h", request.id, hold)
        if not self.quota.ask(ticket):
            self.seek(ticket)

    def set_timer(self, kind: str, name: str, delay: float) -> None:
        self.out.append(i.SetTimer(f"{kind}:{name}", delay, name))

    def seek(self, ticket: Ticket) -> None:
        plan = ticket.plan
        inside = not ticket.account.waits.top() and self.quota.fits(ticket, False, self.now)
        # What passes beyond a cap on open tries would keep the next ones out of it.
        over = plan.over_worth > plan.over_cost and not plan.parallel and self.quota.under_ceiling(ticket)
        if inside or (over and self.idle()):
            self.quota.reserve(ticket, inside, self.now)
            self.offer(ticket)
        elif not self.quota.wait(ticket, self.now):
            self.give_up(ticket)

    def heard(self, event: i.PeerMessage) -> None:
        if ticket := self.quota.heard(event, 5.0 * self.fleet.work, self.now):
            self.judged(ticket, ticket.reserved)

    def judged(self, ticket: Ticket, inside: bool) -> None:
        """The quota's word on a try that was held for it: on to its lane, or its answer at once."""
        if ticket.waits():
            ticket.held = False
            (self.offer if inside else self.give_up)(ticket)

    def changed(self, event: i.Terms) -> None:
        self.admit_waits(self.quota.changed(event, self.now))

    def suspend(self, event: i.Suspend) -> None:
        self.suspended = event.on

    def idle(self) -> bool:
        return self.premium.open + self.basic.open < IDLE_SHARE * self.capacity.target

    def admit_waits(self, account: Account | None) -> None:
        for ticket in self.quota.release(account, self.now) if account else ():
            self.offer(ticket)

    def offer(self, ticket: Ticket) -> None:
        """The actuator: pass with the lane's chance, behind what is held already; hold otherwise."""
        lane = ticket.lane
        lane.arrived += 1
        if not self.ticking:  # periods pass only while there is work
            self.ticking, lane.chance = True, 1.0
            self.out.append(i.SetTimer("tick", self.period * (0.5 + self.rng.random())))
        if lane.held or self.rng.random() >= lane.chance or not self.dispatch(ticket):
            lane.held.add(ticket, not ticket.inside)

    def dispatch(self, ticket: Ticket) -> bool:
        """A further attempt only with half a mean answer left: at the end it is a connection for nothing."""
        late = ticket.attempts and ticket.ends - self.now < self.fleet.service[ticket.request.cls][0] / 2.0
        if server := None if late else self.fleet.pick(ticket, self.now):
            self.send(ticket, server)
        return server is not None

    def send(self, ticket: Ticket, server: Server) -> None:
        request, lane, number, by = ticket.request, ticket.lane, len(ticket.attempts), ticket.repeat_by()
        ticket.attempts.append(Attempt(server, self.now, server.entry.zone, server.entry.cell))
        expected = self.fleet.service[request.cls][0]
        server.open[(request.id, number)] = (self.now, expected)
        self.fleet.used[server] = None
        if self.fleet.warmth(server, self.now) >= 1.0:
            self.fleet.warm_sends += 1
        else:
            server.credit -= expected / self.fleet.work  # every send counts, and all its work
        lane.open, lane.sent = lane.open + 1, lane.sent + 1
        self.budget = min(RETRY_DEPTH, self.budget + RETRY_SHARE * (number == 0))
        self.out.append(i.Send(request.id, server.entry.server, by=by))
        if not ticket.cls.stream:
            self.set_timer(f"p:{number}", ticket.id, self.patience(ticket))

    def overdue(self, ticket: Ticket, number: int) -> None:
        """Off slow, silent or leaving servers: a copy, or a move; under pressure off suspects, or if lost."""
        attempt, limits = ticket.attempts[number], self.settings.limits
        if ticket.closed or ticket.streaming or not attempt.open:
            return
        lost = self.write_off(ticket, number)
        bad = lost or self.fleet.suspect(attempt.server, self.now)
        pressed = min(self.premium.chance, self.basic.chance) < 1.0
        if not lost:
            self.set_timer(f"p:{number}", ticket.id, self.patience(ticket))
        barred = ticket.cls.effect == "once" or (not lost and not may_repeat(ticket.cls))
        if barred or self.budget < 1.0 or (pressed and not bad) or limits.max_attempts < number + 2:
            return
        if limits.second_copies:
            if ticket.open_attempts() < 2 and self.dispatch(ticket):
                self.budget -= 1.0
        elif bad and limits.cancel:
            self.out.append(i.Cancel(ticket.id, number))

    def patience(self, ticket: Ticket) -> float:  # by then most answers would have come
        expected, deviation = self.fleet.service[ticket.request.cls]
        return expected + 4.0 * deviation

    def write_off(self, ticket: Ticket, number: int) -> bool:
        """One that others overtook by far is lost: kept open, a few such shut out a lane, or good servers."""
        attempt, server = ticket.attempts[number], ticket.attempts[number].server
        seen = self.fleet.overtook if server.silent else server.overtook
        if attempt.counted and seen > attempt.sent_at + 2.0 * self.patience(ticket):
            attempt.counted, ticket.lane.open = False, ticket.lane.open - 1
            server.open.pop((ticket.id, number), None)
        return not attempt.counted

    def outcome(self, event: i.Outcome) -> None:
        ticket = self.tickets.get(event.id)
        attempt = ticket.open_attempt(event.attempt) if ticket else None
        if ticket is None or attempt is None:
            return
        attempt.open, attempt.may_have_run = False, event.status not in NEVER_RAN
        self.learn(ticket, attempt, event)
        ticket.lane.open -= attempt.counted
        if event.closed or event.status == "ok":
            self.quota.settle(ticket, event.billed)
            self.end(ticket, None)
        if ticket.open_attempts():
            return
        if ticket.closed:
            self.tickets.pop(event.id, None)
        elif not ticket.streaming and not ticket.held:
            self.again(ticket, 1.0 if attempt.may_have_run else 0.0)

    def learn(self, ticket: Ticket, attempt: Attempt, event: i.Outcome) -> None:
        server, now, cls = attempt.server, self.now, ticket.request.cls
        server.open.pop((event.id, event.attempt), None)
        if event.status != "moot":
            self.fleet.connected(server, attempt.sent_at, event.status != "connect_failed", now)
        if event.status in ("moot", "connect_failed"):
            return
        latency = event.latency or now - attempt.sent_at
        ratio = latency / self.fleet.service[cls][0]
        if event.status in ("ok", "error", "full", "reset"):
            server.answered_at = now
            if server.silent:
                self.fleet.restart(server, now)
            server.overtook = max(server.overtook, attempt.sent_at)
            self.fleet.overtook = max(self.fleet.overtook, attempt.sent_at)
        if event.status in ("ok", "timeout", "cancelled"):
            self.capacity.ended(ticket.cls.aim, latency, event.status == "ok")
        if event.status == "ok":
            mean, deviation = self.fleet.service[cls]
            deviation += SMOOTH / 2 * (abs(latency - mean) - deviation)
            self.fleet.service[cls] = (max(1e-4, mean + SMOOTH / 2 * (latency - mean)), deviation)
            self.fleet.work += SMOOTH / 2 * (latency - self.fleet.work)
            server.full.pop((cls, ticket.request.plan), None)
        if event.status == "full":
            # Guards against turning away one plan or class though there is room: that kind goes elsewhere.
            server.full[(cls, ticket.request.plan)] = now + FORGET
            return
        weight = min(0.5, max(SMOOTH, (now - server.sampled_at) / RECALL * SMOOTH))
        server.sampled_at = now
        server.errors += weight * ((event.status not in ("ok", "cancelled")) - server.errors)
        late = event.status in ("timeout", "cancelled") and ratio > server.pace
        if event.status == "ok" or (late and attempt.counted):
            server.pace += weight * (min(ratio, 10.0) - server.pace)

    def again(self, ticket: Ticket, price: float) -> None:
        """A further attempt within the retry budget, or the end. What never ran has loaded nobody: free."""
        if self.budget >= price and self.now < ticket.wanted_by and self.dispatch(ticket):
            self.budget -= price
        else:
            self.give_up(ticket)

    def give_up(self, ticket: Ticket) -> None:
        longest = min(self.settings.limits.longest_retry_after(), max(0.0, ticket.ends - self.now))
        room_in = ticket.back_in or ticket.account.span / 2.0  # half a span, in the mean
        wait = min(longest, max(PERIOD, room_in * (not ticket.inside)) * self.rng.uniform(0.75, 1.25))
        self.end(ticket, i.Refuse(ticket.id, wait) if may_refuse(ticket) else i.Fail(ticket.id))

    def end(self, ticket: Ticket, answer: i.Refuse | i.Fail | None) -> None:
        """The one end of every request: one answer at most, open attempts called off, quota settled."""
        if ticket.closed:
            return
        ticket.closed, ticket.held = True, False
        if answer is not None:
            self.out.append(answer)
        self.quota.give_back(ticket)
        for number, attempt in enumerate(ticket.attempts):
            if attempt.open and self.settings.limits.cancel and not ticket.streaming:
                self.out.append(i.Cancel(ticket.id, number))
        if not ticket.open_attempts():
            self.tickets.pop(ticket.id, None)
        if ticket.account.plan.parallel:
            self.admit_waits(ticket.account)

    def timer(self, event: i.Timer) -> None:
        kind, _, rest = event.token.partition(":")
        number, _, name = rest.partition(":")
        ticket = self.tickets.get(name or rest)
        if kind == "tick":
            self.tick()
        elif kind == "watch":
            self.out.append(i.Watch(True))
        elif kind == "pump":
            self.quota.pumping = False
            self.quota.pump(self.now)
        elif kind == "q":
            self.admit_waits(self.quota.timer(rest, self.now))
        elif kind == "a" and (asked := self.quota.asked.pop(int(rest), None)) and asked.waits():
            if not self.quota.ask(asked):
                asked.held, asked.serial = False, 0
                self.seek(asked)
        elif kind == "p" and ticket:
            self.overdue(ticket, int(number))
        elif ticket and (ticket.held if kind == "h" else kind == "d" and not ticket.streaming):
            self.give_up(ticket)

    def tick(self) -> None:
        """A control period ends: learn, allow, release what is held, set the chances of the next arrivals."""
        fleet, premium, basic = self.fleet, self.premium, self.basic
        fleet.assess(self.now)
        ready = fleet.total(lambda s: fleet.warmth(s, self.now), len(fleet.ready), LOOKS)  # cold: less
        self.capacity.tick(premium.open + basic.open, ready, self.period)
        target = self.capacity.target
        premium.allow(target, self.period, self.rng.random())
        basic.allow(max(target - premium.open, target / (LOOK_AHEAD + 1)), self.period, self.rng.random())
        self.release_held()
        premium.settle_chance()
        basic.settle_chance()
        self.ticking = bool(premium.open + basic.open or premium.held or basic.held)
        if self.ticking:
            self.out.append(i.SetTimer("tick", self.period))

    def release_held(self) -> None:
        """Up to k premium waits leave before one basic, while lanes have room and servers take them."""
        turn, ready = 0, [self.premium, self.basic]
        while ready:
            lane = ready[-1] if turn >= LOOK_AHEAD else ready[0]
            ticket = lane.held.head(1 + self.idle()) if lane.room >= 1.0 else None
            if ticket is None or not self.dispatch(ticket):
                ready.remove(lane)
                continue
            ticket.held = False
            lane.room -= 1.0
            turn = turn + 1 if lane is self.premium else 0

    def listed(self, event: i.ServerList) -> None:
        self.fleet.listed(event, self.now)
        self.list_misses = self.list_misses + 1 if event.kind == "failed" else 0
        if self.list_misses and self.settings.subscribe:
            pause = min(PERIOD * 2**self.list_misses, self.settings.guards.ask_within / 5)
            self.out.append(i.SetTimer("watch", pause * self.rng.uniform(0.75, 1.25)))
