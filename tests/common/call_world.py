"""Instances that share a table service and a plain service, all in memory.

The nodes are the real ones. What they ask for is kept as pending until the
test says what becomes of it, so that any order of events can be brought
about. Every promise is checked at each action, not at the end.
"""

import collections
import dataclasses
import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.state import claims
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests

PATIENCE = 20.0
CHARGE = 'charge'
LOOKUP = 'lookup'
DIGEST = 'digest'
# Instances probe their upstreams, so some event comes in every second.
NEWS_OF_NOBODY = events.UpstreamUnreachable('nobody')


def small_configuration():
    def pool(name):
        upstreams = tuple(
            configuration.Upstream(f'{name}-{n}', '127.0.0.1', 1, 'kl-1')
            for n in range(3)
        )
        return configuration.Pool(name, upstreams)

    def service(name, kind, pool_name, idempotent):
        return configuration.Service(name, kind, pool_name, idempotent)

    call = configuration.ServiceKind.CALL
    generation = configuration.ServiceKind.GENERATION
    names = (CHARGE, LOOKUP, DIGEST)
    return configuration.Configuration(
        version=1,
        accounts=tuple(
            configuration.ClientAccount(name, '', names)
            for name in ('teratak', 'karri')
        ),
        services=(
            service(CHARGE, call, 'plain', False),
            service(LOOKUP, call, 'plain', True),
            service(DIGEST, generation, 'engines', False),
        ),
        pools=(pool('plain'), pool('engines')),
    )


@dataclasses.dataclass
class Exchange:
    """A caller's connection and what it was told."""

    number: int
    home: 'Instance'
    request: requests.CallRequest | requests.GenerationRequest
    gone: bool = False
    answers: list = dataclasses.field(default_factory=list)

    @property
    def key(self):
        return (self.request.service, self.request.request)


@dataclasses.dataclass
class Write:
    """A write on its way to the table service."""

    home: 'Instance'
    action: actions.WriteClaim
    awaited: bool = True


@dataclasses.dataclass
class Dispatch:
    """A request on its way to an upstream, or running there."""

    home: 'Instance'
    exchange: Exchange
    attempt: identity.AttemptId | None = None
    awaited: bool = True
    ran: bool = False
    answer: bytes = b''
    try_number: int = 1
    upstream: str = ''


class Instance:
    """A node with its timers and with the events that wait for it."""

    def __init__(self, name, seed):
        self.name = name
        self.node = node.Node(name, random.Random(seed))
        self.timers = {}
        self.inbox = collections.deque()
        self.alive = True
        self.paused = False


class World:
    """Everything outside the nodes, with the promises checked."""

    def __init__(self, instances=3):
        self.now = 0.0
        self.rows = {}
        self.store_down = False
        self.store_silent = False
        self.store_loses_answers = False
        self.upstreams_down = False
        self.writes = []
        self.dispatches = []
        self.exchanges = []
        self.sent_before = set()
        self.may_run = collections.defaultdict(list)
        self.runs = collections.Counter()
        self.answer_of = {}
        self.deaths = 0
        self.kinds = collections.Counter()
        self.probes = []
        self.instances = []
        for number in range(instances):
            self.start(f'i{number}')

    def start(self, name):
        """Start an instance that knows nothing but the configuration."""
        started = Instance(name, len(self.instances))
        self.instances.append(started)
        offered = events.ConfigurationOffered(small_configuration(), 'test')
        self.deliver(started, offered)
        return started

    @property
    def alive(self):
        return [found for found in self.instances if found.alive]

    # -- the seam -----------------------------------------------------------

    def deliver(self, home, event):
        """Hand an event to an instance, or keep it while it is paused."""
        if not home.alive:
            return
        home.inbox.append(event)
        if not home.paused:
            self.work_off(home)

    def work_off(self, home):
        while home.inbox:
            event = home.inbox.popleft()
            for action in home.node.handle(event, self.now):
                self.carry_out(home, action)

    def carry_out(self, home, action):
        match action:
            case actions.WriteClaim():
                self.write_asked(home, action)
            case actions.DispatchCall(exchange, upstream, try_number=number):
                self.dispatched(home, exchange, number, upstream.name)
            case actions.StartAttempt(attempt):
                self.attempt_started(home, attempt)
            case actions.AbandonCall(exchange):
                for found in self.dispatches:
                    if self.is_of(found, home, exchange):
                        found.awaited = False
            case actions.SetTimer(name, deadline):
                home.timers[name] = deadline
            case actions.ClearTimer(name):
                home.timers.pop(name, None)
            case actions.SendAnswer(exchange):
                self.answered(home, exchange, action)
            case actions.SendFailure(exchange):
                self.answered(home, exchange, action)
            case actions.SendEnd(exchange):
                self.answered(home, exchange, action)
            case actions.ProbeUpstream(upstream):
                self.probes.append(upstream.name)
            case actions.Record(kind=kind):
                self.kinds[kind] += 1

    def is_of(self, dispatch, home, number):
        return dispatch.home is home and dispatch.exchange.number == number

    def exchange(self, home, number):
        (found,) = [
            e for e in self.exchanges if e.home is home and e.number == number
        ]
        return found

    # -- promises -----------------------------------------------------------

    def dispatched(self, home, number, try_number, upstream):
        exchange = self.exchange(home, number)
        dispatch = Dispatch(
            home, exchange, try_number=try_number, upstream=upstream
        )
        self.check_dispatch(exchange)
        self.dispatches.append(dispatch)
        self.may_run[exchange.key].append(dispatch)

    def attempt_started(self, home, attempt):
        exchange = self.exchange(
            home, home.node.stream_supervisor.exchange_by_attempt[attempt]
        )
        dispatch = Dispatch(home, exchange, attempt)
        others = [
            d for d in self.may_run[exchange.key] if d.exchange is not exchange
        ]
        assert not others, 'a generation was started for two exchanges'
        self.dispatches.append(dispatch)
        self.may_run[exchange.key].append(dispatch)

    def check_dispatch(self, exchange):
        assert not exchange.answers, 'dispatched after the final answer'
        if exchange.request.service == CHARGE:
            assert not self.may_run[exchange.key], 'could run twice'

    def answered(self, home, number, action):
        exchange = self.exchange(home, number)
        assert not exchange.answers, 'a second final answer'
        exchange.answers.append(action)
        match action:
            case actions.SendFailure(failure=failure):
                if failure.ran is requests.Ran.NO:
                    self.check_not_run(exchange)
            case actions.SendAnswer(body=body):
                right = self.answer_of[exchange.key]
                assert body in right, 'an answer to something else'

    def check_not_run(self, exchange):
        may_run = self.may_run[exchange.key]
        own = [d for d in may_run if d.exchange is exchange]
        assert not own, 'told "not run", but it may run'
        idempotent = exchange.request.service == LOOKUP
        if not exchange.request.first_send and not idempotent:
            assert not may_run, 'told "not run", but its twin may run'

    # -- callers ------------------------------------------------------------

    def submit(
        self,
        home,
        service,
        account='teratak',
        key='k',
        body=b'x',
        has_key=True,
        first_send=None,
    ):
        """Send a request, and declare the first send of a key as such."""
        name = identity.RequestId(account, f'{service}-{key}')
        first = (service, name) not in self.sent_before
        self.sent_before.add((service, name))
        if first_send is not None:
            first = first_send
        number = len(self.exchanges) + 1
        deadline = self.now + PATIENCE
        if service == DIGEST:
            request = requests.GenerationRequest(
                number, name, service, 'p', 5, deadline, has_key, first
            )
            event = events.GenerationSubmitted(request)
        else:
            request = requests.CallRequest(
                number, name, service, 'op', body, deadline, has_key, first
            )
            event = events.CallSubmitted(request)
        exchange = Exchange(number, home, request)
        self.exchanges.append(exchange)
        self.deliver(home, event)
        return exchange

    def leave(self, exchange):
        """Let the caller's connection break."""
        exchange.gone = True
        self.deliver(exchange.home, events.CallerGone(exchange.number))

    # -- table service ------------------------------------------------------

    def write_asked(self, home, action):
        if self.store_down:
            failed = events.ClaimWriteFailed(action.holder, False)
            home.inbox.append(failed)
            return
        self.writes.append(Write(home, action))

    def carry_out_write(self, write):
        """Let a write reach the table, whoever still waits for it."""
        self.writes.remove(write)
        action = write.action
        version, record = self.rows.get(action.key, (0, None))
        if self.takes_effect(write):
            self.rows[action.key] = (version + 1, action.record)
            return events.ClaimWritten(action.holder, version + 1)
        row = claims.ClaimRow(version, record)
        return events.ClaimConflicted(action.holder, row)

    def takes_effect(self, write):
        version, _ = self.rows.get(write.action.key, (0, None))
        return version == write.action.expected_version

    def answer_write(self, write):
        event = self.carry_out_write(write)
        if write.awaited:
            self.deliver(write.home, event)

    def lose_write(self, write, reaches_table):
        """Lose the answer, before or after the write takes effect."""
        if reaches_table:
            self.carry_out_write(write)
        self.time_out_write(write)

    def time_out_write(self, write):
        """Have the instance give up on a write that may still land."""
        if write.awaited:
            write.awaited = False
            failed = events.ClaimWriteFailed(write.action.holder, True)
            self.deliver(write.home, failed)

    # -- upstreams ----------------------------------------------------------

    def run(self, dispatch):
        """Let a dispatched request run."""
        if dispatch.ran:
            return
        dispatch.ran = True
        key = dispatch.exchange.key
        self.runs[key] += 1
        dispatch.answer = f'{key} run {self.runs[key]}'.encode()
        self.answer_of.setdefault(key, set()).add(dispatch.answer)
        if key[0] == CHARGE:
            assert self.runs[key] == 1, 'ran twice'

    def finish(self, dispatch):
        """Let a request run and its answer arrive, late ones too."""
        self.run(dispatch)
        self.dispatches.remove(dispatch)
        number = dispatch.exchange.number
        if dispatch.attempt is not None:
            ended = events.AttemptEnded(dispatch.attempt, 0, 'length')
            self.deliver(dispatch.home, ended)
        elif dispatch.awaited:
            answer = events.CallAnswered(
                number, 200, dispatch.answer, dispatch.try_number
            )
            self.deliver(dispatch.home, answer)

    def break_off(self, dispatch):
        """Break the connection; the request may run nevertheless."""
        if not dispatch.awaited:
            return
        dispatch.awaited = False
        self.broken(dispatch, True)

    def refuse(self, dispatch):
        """Prove that a request did not run and will not."""
        if dispatch.ran or not dispatch.awaited:
            return
        self.dispatches.remove(dispatch)
        self.may_run[dispatch.exchange.key].remove(dispatch)
        self.broken(dispatch, False)

    def broken(self, dispatch, handed_over):
        if dispatch.attempt is not None:
            event = events.AttemptBroken(
                dispatch.attempt, 'broken', handed_over
            )
        else:
            number = dispatch.exchange.number
            event = events.CallBroken(
                number, 'broken', handed_over, dispatch.try_number
            )
        self.deliver(dispatch.home, event)

    # -- instances and time -------------------------------------------------

    def kill(self, home):
        """Kill an instance; what it has sent goes on without it."""
        home.alive = False
        home.inbox.clear()
        home.timers.clear()
        self.deaths += 1

    def wake(self, home, timers_first):
        """Let a paused instance go on, as if nothing had happened."""
        home.paused = False
        if timers_first:
            self.fire_timers(home)
        self.work_off(home)
        self.fire_timers(home)

    def advance(self, seconds):
        """Let time pass; due timers fire."""
        self.now += seconds
        for home in self.alive:
            if not home.paused:
                self.deliver(home, NEWS_OF_NOBODY)
                self.fire_timers(home)

    def fire_timers(self, home):
        due = [name for name, at in home.timers.items() if at <= self.now]
        for name in due:
            if home.timers.pop(name, None) is not None:
                home.inbox.append(events.TimerFired(name))
        self.work_off(home)

    def step_under_cut(self):
        """Let everything in flight meet what is cut."""
        for write in list(self.writes):
            if self.store_silent:
                self.time_out_write(write)
            elif self.store_loses_answers and self.takes_effect(write):
                self.lose_write(write, reaches_table=True)
            else:
                self.answer_write(write)
        for dispatch in list(self.dispatches):
            if self.upstreams_down:
                self.refuse(dispatch)
            else:
                self.finish(dispatch)

    # -- the end ------------------------------------------------------------

    def settle(self):
        """End all faults, let everything in flight end, and check."""
        self.store_down = False
        for home in self.alive:
            if home.paused:
                self.wake(home, timers_first=False)
        for _ in range(400):
            if not self.step_to_rest():
                break
        else:
            raise AssertionError('no rest in sight')
        for exchange in self.exchanges:
            if exchange.home.alive and not exchange.gone:
                assert len(exchange.answers) == 1, exchange
        for home in self.alive:
            assert home.node.is_idle, (
                home.node.claim_supervisor.claim_by_holder
            )

    def step_to_rest(self):
        for write in list(self.writes):
            self.answer_write(write)
        for dispatch in list(self.dispatches):
            if dispatch in self.dispatches:
                self.finish(dispatch)
        if self.writes or self.dispatches:
            return True
        busy = [h for h in self.alive if not h.node.is_idle]
        if busy:
            self.advance(0.5)
        return bool(busy)

    def retry_all(self):
        """Send every key once more, when all is well, and check."""
        self.settle()
        live = self.start(f'late{len(self.instances)}')
        for service, name in sorted(self.sent_before, key=str):
            if service == CHARGE:
                self.check_retry(live, service, name)

    def check_retry(self, live, service, name):
        key = (service, name)
        may_have_run = bool(self.may_run[key])
        last = name.request.removeprefix(f'{service}-')
        retry = self.submit(live, service, name.account, last)
        self.settle()
        (answer,) = retry.answers
        lossless = not (self.deaths or self.kinds['claim-left-taken'])
        if not may_have_run and lossless:
            # Nobody holds the key any more, so the retry has to run it.
            assert isinstance(answer, actions.SendAnswer), answer
        if isinstance(answer, actions.SendFailure):
            assert answer.failure.ran is not requests.Ran.NO
