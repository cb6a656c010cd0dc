"""Relays around engines that leave or ask for rest, without sockets.

The engines say so in their answers only: the list of engines shows all of them
as live, and instances read it again and again.
"""

import collections
import dataclasses

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state import identity
from greengagelb.state import statements
from tests.common import crashing_fleet
from tests.common import limited_fleet
from tests.common import relay_world

# The operators' bounds: requests within these times after a statement are
# none of its violations.
DRAIN_SECONDS = 2.0
REST_MARGIN_SECONDS = 0.5
# The requests within one rest that the operators allow.
ALLOWED_IN_REST = 2
LIST_SECONDS = 1.0


@dataclasses.dataclass
class Asked:
    """A caller's request, and the answer to it."""

    kind: str
    at: float
    instance: object
    exchange: int
    is_second: bool = False


class StatingFleet(limited_fleet.LimitedFleet):
    """Instances and engines, some of which leave or want rest.

    ``rests`` has the seconds of rest that engines ask for when they turn a
    request away; those in ``recovers_at`` ask for the time until then.
    ``leaving`` names those that say that they leave. ``got_from`` has the
    times at which an engine got a request of an instance, ``told`` when it
    first told the instance that it leaves, and ``asked_for`` each time that it
    asked the instance for rest, with the seconds.
    """

    def __init__(self, size, **fields):
        self.rests = {}
        self.recovers_at = collections.defaultdict(lambda: float('-inf'))
        self.leaving = set()
        self.got_from = collections.defaultdict(list)
        self.told = {}
        self.asked_for = collections.defaultdict(list)
        self.asked = []
        self.has_store = True
        super().__init__(size, **fields)
        self.show_list()

    def show_list(self):
        """Have all instances read that all engines are live."""
        entries = tuple(
            dataclasses.replace(
                engine.entry, heartbeat=engine.entry.heartbeat + 1
            )
            for engine in self.engines.values()
        )
        for instance in self.instances if self.has_store else ():
            instance.handle(relay_events.EnginesListed(entries))
        self.after(LIST_SECONDS, self.show_list)

    # -- engines ------------------------------------------------------------

    def deliver(self, instance, send):
        name = send.engine.engine
        key = (instance.own.incarnation, name)
        self.got_from[key].append(self.now)
        seconds = self.rests.get(name, self.recovers_at[name] - self.now)
        if seconds <= 0.0:
            super().deliver(instance, send)
            return
        self.asked_for[key].append((self.now, seconds))
        self.after(
            crashing_fleet.NETWORK_SECONDS,
            self.turn_away,
            instance,
            send,
            seconds,
        )

    def turn_away(self, instance, send, seconds):
        """Have an engine turn a request away and ask for rest."""
        self.state(instance, send, 503, rest_seconds=seconds)
        head = relay_world.answer_head(503, sealed=False, not_run=True)
        instance.handle(
            relay_events.AnswerComplete(send.exchange, send.send, head, b'')
        )

    def head_of(self, engine, run):
        if engine.entry.engine in self.leaving:
            key = (run.instance.own.incarnation, engine.entry.engine)
            self.told.setdefault(key, self.now)
            self.state(run.instance, run.send, 200, leaving=True)
        return super().head_of(engine, run)

    def state(self, instance, send, status, **fields):
        request = identity.RequestId(send.account, send.request.request_id)
        statement = statements.Statement(**fields)
        instance.handle(
            relay_events.EngineStated(
                send.engine, statement, status, request=request
            )
        )

    # -- callers ------------------------------------------------------------

    def ask_at(self, kind, numbers, is_second=False):
        """Have a caller ask, who comes back once if told when."""
        numbers = range(len(self.instances)) if numbers is None else numbers
        instance = self.instances[self.rng.choice(numbers)]
        if not instance.alive:
            return
        _, exchange = self.ask(kind, b'%d' % self.last_exchange, instance)
        found = Asked(kind, self.now, instance, exchange, is_second)
        self.asked.append(found)
        if not is_second:
            self.after(0.0, self.come_back, found)

    def come_back(self, found):
        """Ask again when a refusal says so, at any instance."""
        answer = found.instance.answers.get(found.exchange)
        if answer is None:
            self.after(0.05, self.come_back, found)
        elif isinstance(answer, relay_actions.Refuse) and answer.retry_after:
            self.after(answer.retry_after, self.ask_at, found.kind, None, True)

    # -- what is judged -----------------------------------------------------

    def late_to_leaving(self):
        """Return how many requests reached engines too late to leave."""
        return sum(
            at > since + DRAIN_SECONDS
            for key, since in self.told.items()
            for at in self.got_from[key]
        )

    def most_in_a_rest(self):
        """Return the most requests of an instance within one rest."""
        return max(
            (
                sum(
                    since + REST_MARGIN_SECONDS < at < since + seconds
                    for at in self.got_from[key]
                )
                for key, asked in self.asked_for.items()
                for since, seconds in asked
            ),
            default=0,
        )

    def answers_to(self, since, *, second=False):
        """Return the answers to first or second requests since a moment."""
        return [
            found.instance.answers.get(found.exchange)
            for found in self.asked
            if found.at >= since and found.is_second is second
        ]
