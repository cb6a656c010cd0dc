"""Relays around engines that name a limit, without sockets."""

import collections
import dataclasses

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from tests.common import crashing_fleet
from tests.common import relay_world

CONTACT_SECONDS = crashing_fleet.CONTACT_SECONDS
# The operators' bound: what an engine may get in so many seconds, as a part
# of what its limit allows and some requests more.
WINDOW_SECONDS = 4.0
MOST_SHARE = 1.5
SPARE_REQUESTS = 5
CALLS = ('call', 'query')


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that an engine got."""

    at: float
    instance: str
    kind: str
    account: str


class LimitedFleet(crashing_fleet.CrashingFleet):
    """Instances and engines, some of which name a limit.

    ``limits`` are those that engines name now, by the engine's name.
    """

    def __init__(self, size, **fields):
        self.limits = {}
        self.named_at = {}
        self.got = collections.defaultdict(list)
        super().__init__(size, **fields)

    # -- engines ------------------------------------------------------------

    def engines_of(self, kind):
        """Return the names of the engines that requests of a kind go to."""
        service = relay_world.CALLS if kind in CALLS else relay_world.STREAMS
        return sorted(
            name
            for name, engine in self.engines.items()
            if engine.entry.service == service
        )

    def limit(self, rate, *names):
        """Have engines name a limit from now on; None lifts it."""
        for name in names:
            self.limits[name] = rate
            self.named_at[name] = self.now

    def arrived(self, engine, run):
        send = run.send
        kind = 'stream' if send.stream else 'call'
        arrival = Arrival(self.now, run.instance.own.name, kind, send.account)
        self.got[engine.entry.engine].append(arrival)

    def head_of(self, engine, run):
        return relay_world.answer_head(
            limit=self.limits.get(engine.entry.engine)
        )

    # -- instances ----------------------------------------------------------

    def restart(self, number):
        """Kill an instance and start it anew.

        The others find another instance at its host, and forget it.
        """
        left = relay_events.PeerLeft(self.instances[number].own.incarnation)
        started = super().restart(number)
        for other in self.instances:
            if other is not started:
                self.after(crashing_fleet.NETWORK_SECONDS, other.handle, left)
        return started

    # -- what is judged -----------------------------------------------------

    def worst_window(self, name, since=None):
        """Return the most requests that an engine got in some 4 s.

        Counted from when all instances must know of its limit.
        """
        if since is None:
            since = self.named_at[name] + CONTACT_SECONDS
        times = [a.at for a in self.got[name] if a.at >= since]
        return max(
            (
                sum(at <= other < at + WINDOW_SECONDS for other in times)
                for at in times
            ),
            default=0,
        )

    def allowed(self, rate):
        """Return the most that an engine with a limit may get in 4 s."""
        return MOST_SHARE * rate * WINDOW_SECONDS + SPARE_REQUESTS

    def share_used(self, name, rate, since):
        """Return which part of a limit was used since a moment."""
        got = sum(a.at >= since for a in self.got[name])
        return got / (rate * (self.now - since))

    # -- load ---------------------------------------------------------------

    def press(self, kind, rate, seconds, instances=None):
        """Have callers ask so often, at some instances or at any."""
        count = max(1, round(rate * seconds))
        for number in range(count):
            at = (number + self.rng.random()) * seconds / count
            self.after(at, self.ask_at, kind, instances)
        self.run(seconds)

    def ask_at(self, kind, numbers):
        """Have a caller ask at one of some instances."""
        numbers = range(len(self.instances)) if numbers is None else numbers
        instance = self.instances[self.rng.choice(numbers)]
        if instance.alive:
            self.ask(kind, b'%d' % self.last_exchange, instance)

    def refusals(self):
        """Return all refusals of all instances."""
        return [
            answer
            for instance in self.instances
            for answer in instance.answers.values()
            if isinstance(answer, relay_actions.Refuse)
        ]
