"""A front's side of a shared limit: what it asks for, and what it may use now. Without I/O.

Its share of a limit at a time is

- a grant's, until `held` ms after it *sent* the ask that the grant answers (never from when the grant came);
- then, for `lean` ms, the lesser of that and the floor;
- else the floor, `1 / expected`.

So a front that loses the service, is paused or starts anew needs nobody to know what it may do. Grants are
numbered by their coordinator, and coordinators by their fencing token: one that is not newer is passed over,
so that a coordinator that woke late changes nothing.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from cometseam.limits.coordinator import Ask, Grant
from cometseam.limits.terms import Sharing

REMEMBERED = 32  # asks whose time of sending is remembered; a grant that answers an older one has ended
MOST = 1024  # limits asked for at once; past that the smallest wishes are left out


@dataclass(slots=True)
class Held:
    share: float
    ends: float


@dataclass(slots=True)
class Share:
    """One front's shares; a limit leaves the table once its lean time is over."""

    terms: Sharing
    number: int = 0  # of the last ask
    on: tuple[int, int] = (0, 0)  # token and number of the newest grant taken
    stale: int = 0  # grants passed over
    late: int = 0  # grants that came after their own end
    turns: int = 0  # times that the clock was seen to go back
    _seen: float = 0.0
    _sent: "OrderedDict[int, float]" = field(default_factory=OrderedDict)
    _held: dict[str, Held] = field(default_factory=dict)

    def ask(self, wishes: dict[str, float], now: float) -> Ask:
        """Make the next ask, to be sent now; wishes are parts of each limit, 0 to 1."""
        self._look(now)
        self.number += 1
        self._sent[self.number] = now
        while len(self._sent) > REMEMBERED:
            self._sent.popitem(last=False)
        if len(wishes) > MOST:
            wishes = dict(sorted(wishes.items(), key=lambda item: -item[1])[:MOST])
        told = {name: min(max(wish, 0.0), 1.0) for name, wish in wishes.items()}
        return Ask(self.number, self.on, told)

    def take(self, grant: Grant, now: float) -> bool:
        """Take a grant in; return whether it counts. One that counts is told back in the next ask (`on`)."""
        self._look(now)
        if (grant.token, grant.number) <= self.on:
            self.stale += 1
            return False
        sent = self._sent.get(grant.ask)
        if sent is None or now >= sent + self.terms.held or now < sent:
            self.late += 1  # too old, or from before a restart or a turn of the clock: when is not known
            return False
        self.on = (grant.token, grant.number)
        for name, share in grant.shares.items():
            self._held[name] = Held(share, sent + self.terms.held)
        for name in [name for name in self._held if name not in grant.shares]:
            # No longer shared out to this front: it ends now, and what it lacked to the floor comes later.
            self._held[name].ends = min(self._held[name].ends, now)
        return True

    def may(self, name: str, now: float) -> float:
        """Tell this front's share of a limit now."""
        self._look(now)
        floor, held = self.terms.floor, self._held.get(name)
        if held is None:
            return floor
        if now < held.ends:
            return held.share
        if now < held.ends + self.terms.lean:
            return min(held.share, floor)
        del self._held[name]
        return floor

    def _look(self, now: float) -> None:
        """Take in the time. Guards against a clock that goes back: by it every grant would hold for longer,
        and what was sent before can't be told from what was sent since. All grants end here and now."""
        if now < self._seen:
            self.turns += 1
            self._sent.clear()
            for held in self._held.values():
                held.ends = min(held.ends, now)
        self._seen = now

    def ends(self, name: str, now: float) -> float:
        """Tell when this front's share of a limit changes by itself, if nothing is granted: the grant's end,
        then that of its lean time; `now` where it holds none."""
        held = self._held.get(name)
        if held is None:
            return now
        return held.ends if now < held.ends else held.ends + self.terms.lean

    def names(self) -> list[str]:
        """The limits of which this front's share may differ from the floor."""
        return list(self._held)
