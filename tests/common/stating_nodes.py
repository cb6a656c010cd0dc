"""Instances of the product's own interface around upstreams that state things.

Upstreams may say in their answers that they leave, and turn requests away with
a rest that they ask for.
"""

from greengagelb.coordination import events
from greengagelb.state import statements
from tests.common import limited_nodes

NETWORK_SECONDS = limited_nodes.NETWORK_SECONDS


class StatingNodes(limited_nodes.LimitedNodes):
    """``leaving`` names upstreams that say so in answers, not in reports.

    ``rests`` has the rest that upstreams ask for, in seconds, and ``asked_by``
    when which of them has turned an instance away. ``by_instance`` has the
    times at which an upstream got a request of an instance.
    """

    def __init__(self, size, seed=1):
        self.leaving = set()
        self.rests = {}
        self.asked_by = {}
        self.told = {}
        self.by_instance = {}
        super().__init__(size, seed)

    def started(self, instance, action):
        name = action.upstream.name
        if self.states(instance, name, action.attempt.request):
            self.got[name].append(self.now)
            refused = events.AttemptRefused(action.attempt, 'overloaded', None)
            self.after(NETWORK_SECONDS, instance.handle, refused)
            return
        super().started(instance, action)

    def called(self, instance, action):
        name = action.upstream.name
        if self.states(instance, name, action.request.request):
            self.got[name].append(self.now)
            refused = events.CallBroken(
                action.exchange, 'refused', False, action.try_number
            )
            self.after(NETWORK_SECONDS, instance.handle, refused)
            return
        super().called(instance, action)

    def states(self, instance, name, request):
        """Have an upstream state what it does; return whether it refuses."""
        key = (instance.name, name)
        self.by_instance.setdefault(key, []).append(self.now)
        seconds = self.rests.get(name, 0.0)
        if seconds:
            self.asked_by.setdefault(key, []).append((self.now, seconds))
        if name in self.leaving:
            self.told.setdefault(key, self.now)
        if seconds or name in self.leaving:
            said = events.UpstreamStated(
                name,
                str(self.lives[name]),
                statements.Statement(name in self.leaving, seconds),
                503 if seconds else 200,
                self.now,
                request,
            )
            self.after(NETWORK_SECONDS, instance.handle, said)
        return bool(seconds)

    def late_requests(self, drain_seconds=2.0):
        """Return the requests after a statement that should have ended them.

        For an upstream that leaves, from so long after the first answer that
        says so; for one that rests, from half a second after the answer until
        the end of the rest.
        """
        found = [
            (key, at)
            for key, first in self.told.items()
            for at in self.by_instance[key]
            if at > first + drain_seconds
        ]
        found += [
            (key, at)
            for key, asked in self.asked_by.items()
            for at in self.by_instance[key]
            if any(
                since + 0.5 < at < since + seconds for since, seconds in asked
            )
        ]
        return found
