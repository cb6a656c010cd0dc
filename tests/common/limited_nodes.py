"""Instances of the product's own interface around upstreams with limits.

No sockets: what instances want done is carried out after a moment, on one
clock. Upstreams serve each request after a while and name their limit.
"""

import collections
import heapq
import itertools
import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state import requests
from tests.common import limited_fleet

NETWORK_SECONDS = 0.001
RUN_SECONDS = 0.03
REPORT_SECONDS = 1.0
CALLER_SECONDS = 3.0
PLACES = 8
ENGINES = 3
DRAFT, LOOKUP, CHARGE = 'draft', 'lookup', 'charge'
KINDS = {DRAFT: 'drafting', LOOKUP: 'plain', CHARGE: 'plain'}
ACCOUNTS = ('one', 'two')


def configured():
    """Return a configuration with one service of each kind of request."""
    kinds = configuration.ServiceKind
    pools = tuple(
        configuration.Pool(
            name,
            tuple(
                configuration.Upstream(f'{name}-{n}', '127.0.0.1', 1, 'kl-1')
                for n in range(ENGINES)
            ),
            model,
            model,
            slots_per_upstream=PLACES,
        )
        for name, model in (('drafting', 'm'), ('plain', ''))
    )
    short = configuration.Priority.SHORT
    services = (
        configuration.Service(DRAFT, kinds.GENERATION, 'drafting'),
        configuration.Service(LOOKUP, kinds.CALL, 'plain', priority=short),
        configuration.Service(CHARGE, kinds.CALL, 'plain', False, short),
    )
    accounts = tuple(
        configuration.ClientAccount(name, '', tuple(KINDS))
        for name in ACCOUNTS
    )
    return configuration.Configuration(
        version=1, accounts=accounts, services=services, pools=pools
    )


class Instance:
    """One node, its timers, and what its callers were answered."""

    def __init__(self, world, number):
        self.world = world
        self.name = f'i{number}'
        self.node = node.Node(self.name, random.Random(number), 'kl-1')
        self.timers = {}
        self.answers = {}

    def handle(self, event):
        for action in self.node.handle(event, self.world.now):
            self.world.carry_out(self, action)

    def fire(self, name, deadline):
        if self.timers.get(name) == deadline:
            del self.timers[name]
            self.handle(events.TimerFired(name))


class LimitedNodes:
    """Instances of one data centre before engines and plain services.

    ``limits`` are what upstreams name; ``got`` the times at which each one
    got a request. Those that are ``broken`` end each connection at once.
    """

    def __init__(self, size, seed=1):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.events = []
        self.order = itertools.count()
        self.numbers = itertools.count(1)
        self.limits = {}
        self.lives = collections.Counter()
        self.named_at = {}
        self.broken = set()
        self.got = collections.defaultdict(list)
        self.instances = [Instance(self, number) for number in range(size)]
        for instance in self.instances:
            offered = events.ConfigurationOffered(configured(), 'test')
            instance.handle(offered)
            instance.handle(events.FleetSizeChanged(size))
            others = tuple(
                (other.name, 'kl-1')
                for other in self.instances
                if other is not instance
            )
            instance.handle(events.PeersChanged(others))
        self.report()
        self.run(3.0)

    # -- time ---------------------------------------------------------------

    def after(self, seconds, function, *arguments):
        entry = (self.now + seconds, next(self.order), function, arguments)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = until

    # -- upstreams ----------------------------------------------------------

    def upstreams_of(self, service):
        return [f'{KINDS[service]}-{n}' for n in range(ENGINES)]

    def limit(self, rate, *names):
        """Have upstreams name a limit from now on; None lifts it."""
        for name in names:
            self.limits[name] = rate
            self.named_at[name] = self.now

    def said(self, name):
        return limits.UpstreamAdvertisement(
            self.limits.get(name), str(self.lives[name])
        )

    def report(self):
        for service in (DRAFT, LOOKUP):
            model = 'm' if service == DRAFT else ''
            for name in self.upstreams_of(service):
                told = events.UpstreamReported(
                    identity.EngineId(name, str(self.lives[name])),
                    model,
                    model,
                    '',
                    0,
                    0,
                    0.0,
                    False,
                )
                for instance in self.instances:
                    instance.handle(told)
        self.after(REPORT_SECONDS, self.report)

    def worst_window(self, name):
        """Return the most requests that an upstream got in some 4 s."""
        since = self.named_at[name] + limited_fleet.CONTACT_SECONDS
        times = [at for at in self.got[name] if at >= since]
        window = limited_fleet.WINDOW_SECONDS
        return max(
            (sum(at <= o < at + window for o in times) for at in times),
            default=0,
        )

    # -- callers ------------------------------------------------------------

    def press(self, service, rate, seconds, at=None):
        """Have callers ask so often, at some instances or at any."""
        count = max(1, round(rate * seconds))
        for number in range(count):
            wait = (number + self.rng.random()) * seconds / count
            self.after(wait, self.ask, service, ACCOUNTS[0], at)
        self.run(seconds)

    def ask(self, service, account=ACCOUNTS[0], at=None):
        """Have a caller ask at some instance; return both."""
        instance = self.rng.choice(self.instances)
        if at is not None:
            instance = self.instances[self.rng.choice(at)]
        number = next(self.numbers)
        request = identity.RequestId(account, f'r{number}')
        deadline = self.now + CALLER_SECONDS
        if service == DRAFT:
            event = events.GenerationSubmitted(
                requests.GenerationRequest(
                    number, request, service, f'tell {number}', 4, deadline
                )
            )
        else:
            event = events.CallSubmitted(
                requests.CallRequest(
                    number,
                    request,
                    service,
                    'do',
                    b'%d' % number,
                    deadline,
                    has_idempotency_key=service == CHARGE,
                    first_send=service == CHARGE,
                )
            )
        instance.handle(event)
        return instance, number

    # -- what instances want done -------------------------------------------

    def carry_out(self, instance, action):
        match action:
            case actions.StartAttempt():
                self.after(NETWORK_SECONDS, self.started, instance, action)
            case actions.DispatchCall():
                self.after(NETWORK_SECONDS, self.called, instance, action)
            case actions.WriteClaim(holder=holder, expected_version=version):
                written = events.ClaimWritten(holder, version + 1)
                self.after(NETWORK_SECONDS, instance.handle, written)
            case actions.CancelAttempt(attempt):
                gone = events.AttemptCancelled(attempt)
                self.after(NETWORK_SECONDS, instance.handle, gone)
            case actions.SendPeerMessage(receiver, message):
                told = events.PeerMessageReceived(instance.name, message)
                for other in self.instances:
                    if other is not instance and receiver in ('', other.name):
                        self.after(NETWORK_SECONDS, other.handle, told)
            case actions.SetTimer(name, deadline):
                instance.timers[name] = deadline
                wait = max(0.0, deadline - self.now)
                self.after(wait, instance.fire, name, deadline)
            case actions.ClearTimer(name):
                instance.timers.pop(name, None)
            case (
                actions.SendAnswer(exchange=exchange)
                | actions.SendEnd(exchange=exchange)
                | actions.SendFailure(exchange=exchange)
            ):
                instance.answers[exchange] = action

    def started(self, instance, action):
        name = action.upstream.name
        self.got[name].append(self.now)
        if name in self.broken:
            broken = events.AttemptBroken(action.attempt, 'lost', True)
            self.after(NETWORK_SECONDS, instance.handle, broken)
            return
        accepted = events.AttemptAccepted(action.attempt, self.said(name))
        self.after(NETWORK_SECONDS, instance.handle, accepted)
        tokens = events.TokensArrived(action.attempt, 0, tuple('abcd'))
        self.after(RUN_SECONDS, instance.handle, tokens)
        ended = events.AttemptEnded(action.attempt, 4, 'length')
        self.after(RUN_SECONDS + NETWORK_SECONDS, instance.handle, ended)

    def called(self, instance, action):
        name = action.upstream.name
        self.got[name].append(self.now)
        if name in self.broken:
            broken = events.CallBroken(
                action.exchange, 'lost', True, action.try_number
            )
            self.after(NETWORK_SECONDS, instance.handle, broken)
            return
        answered = events.CallAnswered(
            action.exchange, 200, b'ok', action.try_number, self.said(name)
        )
        self.after(RUN_SECONDS, instance.handle, answered)

    # -- what is judged -----------------------------------------------------

    def failures(self):
        """Return all failures that callers got."""
        return [
            answer.failure
            for instance in self.instances
            for answer in instance.answers.values()
            if isinstance(answer, actions.SendFailure)
        ]
