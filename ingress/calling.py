"""Sampling of the calls to the shared counter, adapted to how fast the counter answers."""

from __future__ import annotations

import random

from ingress import interface as io

# calls per request beyond which sure refusals make none; weight of a request
ASK_SHARE = 0.8
ASK_OVER = 0.01
WAIT = 0.3  # target of the mean wait for the counter, in timeouts, by which the call share is adapted
STEP = 0.1  # how fast the call share moves
ASK_NEED = 4.0  # factor on the call share for requests that would be refused without a call
# least call share; the same while the counter is down, and least in `part`
ASK_LEAST = 0.05
ASK_DOWN = 0.2
# call share when the counter is back; factor on it after a miss
ASK_BACK = 0.5
ASK_CUT = 0.6
ASK_ALL = 8.0  # ingresses that may all call for each request, as assumed by one that has just started
OUTAGE_MISSES = 8  # misses in a row after which the counter counts as down, not just overloaded


class CounterCallPolicy:
    """The call share (the fraction of requests that call the counter), and whether the counter is down."""

    def __init__(self, settings: io.Settings, rng: random.Random) -> None:
        self.timeout = settings.counter_timeout
        self.rng = rng
        self.begin_ask = min(1.0, ASK_ALL / settings.instances)
        # call share, misses in a row, mean calls
        self.ask = self.begin_ask
        self.misses = 0
        self.asked = 1.0

    def counter_down(self) -> bool:
        """Whether the counter is taken to be down."""
        return self.misses >= OUTAGE_MISSES

    def sampling_active(self) -> bool:
        """Whether calls are scarce: a request that is sure to be refused makes none."""
        return self.ask < 1 or self.asked > ASK_SHARE

    def part(self) -> float:
        """The fraction of the requests' charges that a count is taken to contain where only some call."""
        return max(ASK_DOWN, self.ask)

    def should_call(self, need: float) -> bool:
        """Decide at random whether a request calls, by how much a verdict on it is needed (0 to 1)."""
        return self.rng.random() < self.draw_share(need)

    def draw_share(self, need: float) -> float:
        """The fraction of requests with such a need that call."""
        if self.misses >= OUTAGE_MISSES:
            return self.ask
        return max(ASK_LEAST, self.ask * self.ask, ASK_NEED * self.ask * need)

    def note_request(self) -> None:
        """Note a request that may call."""
        self.asked *= 1 - ASK_OVER

    def note_call(self) -> None:
        """Note a call that charges a rate."""
        self.asked += ASK_OVER

    def answers(self, e: io.CounterReply, acts: list[io.Action]) -> bool:
        """Adapt the call share to a reply; returns whether the counter has added the amount."""
        if e.outcome not in (io.Outcome.OK, io.Outcome.ERROR):
            least = ASK_LEAST if self.misses < OUTAGE_MISSES else ASK_DOWN
            self.ask = max(least, self.ask * ASK_CUT)
            self.misses = self.misses + 1
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
