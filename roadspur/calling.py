"""How much an ingress calls the shared counter, by how the counter answers."""

from __future__ import annotations

import random

from roadspur import interface as io

ASK_SHARE, ASK_OVER = 0.8, 0.01  # calls a request beyond which sure refusals need none; weight of a request
WAIT = 0.3  # mean wait for the counter, of its time-out, that the share of requests that call aims at
STEP = 0.1  # how fast that share moves
ASK_NEED = 4.0  # times that share, for requests that would be refused unasked
ASK_LEAST, ASK_DOWN = 0.05, 0.2  # its least; while the counter is down, and least that counts as told
ASK_BACK, ASK_CUT = 0.5, 0.6  # its value when the counter is back; what a miss leaves of it
ASK_ALL = 8.0  # ingresses that may all call for each request at once, as far as one knows that has only begun
OUTAGE_MISSES = 8  # misses in a row after which the counter counts as down for all, not just crowded


class CounterCallPolicy:
    """The share of the requests that call, and whether the counter is down."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.timeout, self.rng = settings.counter_timeout, rng
        self.begin_ask = min(1.0, ASK_ALL / settings.instances)
        self.ask, self.misses, self.asked = self.begin_ask, 0, 1.0  # share that calls, misses in a row, calls

    def counter_down(self) -> bool:
        """Whether the counter counts as down."""
        return self.misses >= OUTAGE_MISSES

    def sampling_active(self) -> bool:
        """Whether calls are short: a request that is sure to be refused makes none."""
        return self.ask < 1 or self.asked > ASK_SHARE

    def part(self) -> float:
        """The part of the requests' charges that a count is taken to hold where only some call."""
        return max(ASK_DOWN, self.ask)

    def should_call(self, need: float) -> bool:
        """Whether one of the calls there are goes to a request, by how much a verdict on it is needed."""
        return self.rng.random() < self.draw_share(need)

    def draw_share(self, need: float) -> float:
        """How many of the requests with such a need call."""
        if self.misses >= OUTAGE_MISSES:
            return self.ask
        return max(ASK_LEAST, self.ask * self.ask, ASK_NEED * self.ask * need)

    def note_request(self) -> None:
        """A request has come that may call."""
        self.asked *= 1 - ASK_OVER

    def note_call(self) -> None:
        """A call on a rate went out."""
        self.asked += ASK_OVER

    def answers(self, e: io.CounterReply, acts: list[io.Action]) -> bool:
        """Whether the counter did add; the share of requests that call follows how it does."""
        if e.outcome not in (io.Outcome.OK, io.Outcome.ERROR):
            least = ASK_LEAST if self.misses < OUTAGE_MISSES else ASK_DOWN
            self.ask, self.misses = max(least, self.ask * ASK_CUT), self.misses + 1
            if self.misses == OUTAGE_MISSES:
                acts.append(io.Log("counter gives no answer: admitting by local shares"))
            return False
        self.ask += STEP * (WAIT - e.elapsed / self.timeout)
        if self.misses >= OUTAGE_MISSES:
            acts.append(io.Log(f"counter answers again after {self.misses} misses"))
        back = self.misses >= OUTAGE_MISSES
        self.ask = min(ASK_BACK, self.begin_ask) if back else min(1.0, max(ASK_LEAST, self.ask))
        self.misses = 0
        return True
