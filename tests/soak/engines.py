"""Stand-ins for engines: they answer, count what they ran, and keep copies.

Each stands behind a proxy, through which faults reach it.
"""

import dataclasses
import enum
import itertools
import json
import random
import secrets
import time

from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import resource
from twisted.web import server

from tests.soak import content
from tests.soak import proxy

STREAMS = 'drafts'
CALLS = 'booking'
# Seconds: between events of a stream, for reading a prompt, for a call.
EVENT_SECONDS = 0.03
READING_SECONDS = 0.2
CALL_SECONDS = (0.005, 0.04)
# Seconds from the head of an answer to the crash by a part of its prompt, and
# from there to the next life.
CRASH_SECONDS = 0.05
DOWN_SECONDS = 1.5
# Events that are written before a crash after events.
EVENTS_BEFORE_CRASH = 2
SLOTS = 16
# Of the requests to a failing engine so many fail after they have run.
FAILURE_SHARE = 0.6
FAILURE_STATUSES = (500, 504)
# Without word that nothing ran, these promise nothing.
STATUSES_OF_THOSE_RUN_ONCE = (500, 504, 429, 503)
STATUSES_OF_RESUMED_STREAMS = (500, 504, 400)
RUN_ONCE_ROUTES = ('call', 'letter')
STATUS_PATHS = (b'/health', b'/api/report')
# How late an engine with late checks answers one, in seconds.
LATE_CHECK_SECONDS = (0.1, 1.0)


class CrashMoment(enum.Enum):
    """When an engine crashes by a part of a prompt."""

    READING = enum.auto()
    BEFORE_HEAD = enum.auto()
    AT_HEAD = enum.auto()
    AFTER_EVENTS = enum.auto()


@dataclasses.dataclass(slots=True)
class Run:
    """What an engine saw of one request that it began to work on.

    It is ``broken_off`` if its engine ended, and ``torn`` if only its answer
    was cut there. ``sender`` is the host of the instance that holds the
    connection to the engine.
    """

    request_id: str
    engine: str
    began_at: float
    ended_at: float | None = None
    answered: bool = False
    broken_off: bool = False
    torn: bool = False
    events: int = 0
    crash_moment: CrashMoment | None = None
    sender: str = ''
    service: str = ''


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """A limit that an engine names, from one moment to another."""

    engine: str
    rate: float
    at: float
    until: float = float('inf')


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an engine, whether it ran or not."""

    engine: str
    at: float
    request_id: str = ''
    life: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A request that reached an engine, whatever was answered.

    ``left`` is the time that the engine was told to have for it, in seconds,
    and ``misdirected_in`` the data centre of an engine that it was not meant
    for.
    """

    service: str
    request_id: str
    at: float
    left: float | None = None
    misdirected_in: str = ''


@dataclasses.dataclass(slots=True)
class Stated:
    """An answer in which an engine said that it leaves, or asked for rest.

    It holds for the life that gave it. ``seconds`` is the rest asked for, 0.0
    if it leaves.
    """

    life: str
    request_id: str
    at: float
    seconds: float = 0.0


class Engines:
    """All engines, what they ran, and the copies that they keep."""

    def __init__(self, reactor: interfaces.IReactorTCP) -> None:
        self.reactor = reactor
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.received: list[Received] = []
        self.limits: list[NamedLimit] = []
        self.stated: list[Stated] = []
        self.crashing_parts: set[str] = set()
        self.crashes: list[float] = []
        self.crash_moments = (CrashMoment.AT_HEAD,)
        self.unframed_share = 0.0
        self.torn_share = 0.0
        self.event_seconds = EVENT_SECONDS
        self.copies: set[tuple[str, str]] = set()
        self.engines: list[Engine] = []


class Engine(resource.Resource):
    """One engine; its starts differ in identity, or in their time alone."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, pool: Engines, host: str, service: str, place: str, seed: int
    ) -> None:
        super().__init__()
        self.pool = pool
        self.service = service
        self.place = place
        self.rng = random.Random(seed)
        self.identity = ''
        self.born = 0
        self.running: list[Run] = []
        self.last_ended_at = 0.0
        self.limit: NamedLimit | None = None
        self.state = 'ready'
        self.lives = True
        self.states_leaving = False
        self.rests_until = 0.0
        self.paused_until = 0.0
        self.frozen_until = 0.0
        self.full_until = 0.0
        self.failing_until = 0.0
        self.checks_late_until = 0.0
        self.checks_lost_until = 0.0
        self.heartbeats = itertools.count(1)
        site = server.Site(self)
        inner = pool.reactor.listenTCP(0, site, interface=host)
        self.link = proxy.Proxy(pool.reactor, host)
        self.link.far = (host, inner.getHost().port)
        self.address = f'{host}:{self.link.port}'
        self.start()
        pool.engines.append(self)

    @property
    def life(self) -> str:
        """Return what names this life among those of all engines."""
        return f'{self.identity} {self.born}'

    def start(self) -> None:
        """Begin a new life: another identity, nothing in memory."""
        self.identity = 'i-' + secrets.token_hex(5)
        self.begin_life()

    def begin_life(self) -> None:
        """Hold and know nothing of before, and count anew."""
        self.born = int(time.time() * 1000)
        self.heartbeats = itertools.count(1)
        self.state = 'ready'
        self.lives = True
        self.states_leaving = False
        self.rests_until = 0.0
        self.paused_until = 0.0
        self.frozen_until = 0.0
        self.full_until = 0.0
        self.failing_until = 0.0
        self.checks_late_until = 0.0
        self.checks_lost_until = 0.0
        kept = self.pool.copies
        kept -= {copy for copy in kept if copy[0] == self.address}

    def crash(self) -> None:
        """End at once, with all that runs."""
        self.lives = False
        self.break_off()
        self.link.refuse()

    def restart(self) -> None:
        """Come back at the same address."""
        self.start()
        if self.link.listening is None:
            self.link.listen()

    def crash_by_part(self) -> None:
        """Crash as a prompt makes it; open connections end in good order."""
        self.pool.crashes.append(self.pool.reactor.seconds())
        self.lives = False
        self.break_off()
        self.link.refuse(orderly=self.rng.random() < 0.5)
        task.deferLater(self.pool.reactor, DOWN_SECONDS, self.restart)

    def crash_unnoticed(self) -> None:
        """End at once behind a link that has gone dark."""
        self.lives = False
        self.break_off()
        self.link.mode = proxy.Mode.DARK
        self.link.silence()
        for run in list(self.running):
            self.ended(run)

    def break_off(self) -> None:
        """Note that this engine itself ends all that runs."""
        for run in self.running:
            run.broken_off = True

    def start_again(self) -> None:
        """Come back at the same address, under the same identity."""
        self.begin_life()
        self.link.mode = proxy.Mode.PASS
        if self.link.listening is None:
            self.link.listen()

    def pause(self, until: float, *, frozen: bool) -> None:
        """Write nothing of any answer for some time; lose nothing.

        While frozen, the engine doesn't read requests either, status checks
        included.
        """
        self.paused_until = max(until, self.paused_until)
        if frozen:
            self.frozen_until = max(until, self.frozen_until)

    def name_limit(self, rate: float) -> NamedLimit:
        """Name a limit in each answer from now on."""
        self.lift_limit(self.limit)
        now = self.pool.reactor.seconds()
        self.limit = NamedLimit(self.identity, rate, now)
        self.pool.limits.append(self.limit)
        return self.limit

    def lift_limit(self, limit: NamedLimit | None) -> None:
        """Name a limit no longer, if it is still the one."""
        if limit is not None and limit is self.limit:
            limit.until = self.pool.reactor.seconds()
            self.limit = None

    def entry(self) -> dict[str, object]:
        """Return what the engine writes into the list of engines."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.place,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': next(self.heartbeats),
            'born': self.born,
        }

    # -- requests -----------------------------------------------------------

    def render(self, request: server.Request) -> object:
        """Count a request, and answer it once the engine isn't frozen."""
        head = Head(request)
        now = self.pool.reactor.seconds()
        if head.request_id:
            is_meant = head.expected in ('', self.identity)
            received = Received(
                self.service,
                head.request_id,
                now,
                head.left,
                '' if is_meant else self.place,
            )
            self.pool.received.append(received)
        seconds = self.frozen_until - now
        if request.path in STATUS_PATHS:
            seconds = max(seconds, self.check_delay(now))
        if seconds <= 0.0:
            return self.answer(request, head)
        gone = []
        request.notifyFinish().addErrback(gone.append)
        if seconds < float('inf'):
            later = (self.answer_late, request, head, gone)
            task.deferLater(self.pool.reactor, seconds, *later)
        return server.NOT_DONE_YET

    def check_delay(self, now: float) -> float:
        """Return after how many seconds a status check is answered."""
        if self.checks_lost_until > now:
            return float('inf')
        if self.checks_late_until > now:
            return self.rng.uniform(*LATE_CHECK_SECONDS)
        return 0.0

    def answer_late(
        self, request: server.Request, head: 'Head', gone: list[object]
    ) -> None:
        """Answer a request that had to wait, as its engine was frozen."""
        if gone:
            return
        answer = self.answer(request, head)
        if answer is not server.NOT_DONE_YET:
            request.write(answer)
            request.finish()

    def answer(self, request: server.Request, head: 'Head') -> object:
        """Answer a request, or begin to."""
        is_check = request.path in STATUS_PATHS
        if is_check:
            request.setHeader('Instance-Id', self.identity)
        if head.expected not in ('', self.identity):
            return self.not_run(request, 421)
        if is_check:
            return self.report()
        if not head.request_id:
            return self.not_run(request, 400)
        if self.limit is not None:
            request.setHeader('Server-Limit', f'{self.limit.rate:g}')
        self.pool.arrivals.append(
            Arrival(
                self.identity,
                self.pool.reactor.seconds(),
                head.request_id,
                self.life,
            )
        )
        if self.rests_until > self.pool.reactor.seconds():
            return self.ask_for_rest(request, head)
        is_full = self.full_until > self.pool.reactor.seconds()
        if is_full or len(self.running) >= SLOTS:
            return self.not_run(request, 503)
        if head.copy_from and (self.address, head.copied_run) not in (
            self.pool.copies
        ):
            return self.not_run(request, 503)
        run = Run(head.request_id, self.identity, self.pool.reactor.seconds())
        port = request.getClientAddress().port
        run.sender = self.link.sources.get(port, '')
        run.service = self.service
        self.pool.runs.append(run)
        self.running.append(run)
        request.notifyFinish().addBoth(lambda _: self.ended(run))
        request.setHeader('Request-Id', head.request_id)
        request.setHeader('Engine-Seal', f'{self.identity}.{head.request_id}')
        request.setHeader('Engine-Load', f'{len(self.running)},0,{SLOTS}')
        if self.rng.random() < self.pool.unframed_share:
            # Without length or chunks, and at the end of the connection.
            request.clientproto = b'HTTP/1.0'
            request.channel.persistent = False
        if self.pool.torn_share and self.rng.random() < self.pool.torn_share:
            self.later(
                READING_SECONDS, run, self.tear_answer, request, head, run
            )
        elif self.fails_now():
            self.later(
                READING_SECONDS, run, self.answer_failure, request, head, run
            )
        elif self.service == STREAMS:
            self.generate(request, head, run)
        else:
            seconds = self.rng.uniform(*CALL_SECONDS)
            self.later(seconds, run, self.answer_call, request, head, run)
        return server.NOT_DONE_YET

    def report(self) -> bytes:
        """Report the start of this life, and what runs."""
        runs = [[run.request_id, 0, run.events, 5] for run in self.running]
        return json.dumps({'born': self.born, 'runs': runs}).encode()

    def not_run(self, request: server.Request, status: int) -> bytes:
        """Refuse a request, and say that it has not run."""
        request.setResponseCode(status)
        request.setHeader('Not-Executed', '1')
        return b''

    def ask_for_rest(self, request: server.Request, head: 'Head') -> bytes:
        """Turn a request away, and ask for rest until the overload ends."""
        now = self.pool.reactor.seconds()
        seconds = self.rests_until - now
        stated = Stated(self.life, head.request_id, now, seconds)
        self.pool.stated.append(stated)
        request.setHeader('Retry-After', f'{seconds:.3f}')
        return self.not_run(request, 503)

    def say_if_leaving(self, request: server.Request, head: 'Head') -> None:
        """Say in the head of an answer that this engine leaves, if it does."""
        if not self.states_leaving or request.startedWriting:
            return
        now = self.pool.reactor.seconds()
        self.pool.stated.append(Stated(self.life, head.request_id, now))
        request.setHeader('Server-Leaving', '1')

    def ended(self, run: Run) -> None:
        """Note the end of a run, whatever ended it."""
        if run.ended_at is None:
            run.ended_at = self.pool.reactor.seconds()
            self.last_ended_at = run.ended_at
            self.running.remove(run)

    def later(self, seconds: float, run: Run, call: object, *args: object):
        """Go on with a run after some seconds, unless it is over by then.

        Pauses make it later.
        """

        def go_on() -> None:
            wait = self.paused_until - self.pool.reactor.seconds()
            if run.ended_at is not None:
                return
            if wait > 0.0:
                task.deferLater(self.pool.reactor, wait, go_on)
            else:
                call(*args)

        task.deferLater(self.pool.reactor, seconds, go_on)

    def fails_now(self) -> bool:
        """Return whether the next run is to fail."""
        if self.failing_until <= self.pool.reactor.seconds():
            return False
        return self.rng.random() < FAILURE_SHARE

    def answer_failure(
        self, request: server.Request, head: 'Head', run: Run
    ) -> None:
        """Answer a run with a failure, which doesn't say that it was none."""
        run.answered = True
        statuses = FAILURE_STATUSES
        if head.route in RUN_ONCE_ROUTES:
            statuses = STATUSES_OF_THOSE_RUN_ONCE
        elif head.after:
            statuses = STATUSES_OF_RESUMED_STREAMS
        request.setResponseCode(self.rng.choice(statuses))
        request.write(b'{"error": "internal"}')
        request.finish()

    def tear_answer(
        self, request: server.Request, head: 'Head', run: Run
    ) -> None:
        """Lose the rest of a head, end it, write a part of the body, close."""
        run.torn = True
        part = content.call(head.request_id, head.body)[: len(head.body) // 2]
        if self.service == STREAMS:
            rest = content.stream(head.body, head.after + 1)
            part = b''.join(rest.partition(b'\n\n')[:2])
        fields = (
            'HTTP/1.1 200 OK',
            f'Request-Id: {head.request_id}',
            f'Engine-Seal: {self.identity}.{head.request_id}',
        )
        raw = '\r\n'.join((*fields, '', '')).encode() + part
        request.channel.transport.write(raw)
        request.channel.loseConnection()

    def answer_call(
        self, request: server.Request, head: 'Head', run: Run
    ) -> None:
        """Answer a call whole."""
        run.answered = True
        self.say_if_leaving(request, head)
        request.write(content.call(head.request_id, head.body))
        request.finish()

    def generate(
        self, request: server.Request, head: 'Head', run: Run
    ) -> None:
        """Begin a stream: read the prompt first, unless a copy is here."""
        request.setHeader('Content-Type', 'text/event-stream')
        if head.copy_to:
            self.pool.copies.add((head.copy_to, head.request_id))
        seconds = READING_SECONDS
        if head.copy_from:
            seconds = self.pool.event_seconds
        run.crash_moment = self.draw_crash_moment(head)
        match run.crash_moment:
            case CrashMoment.READING:
                self.later(seconds / 2, run, self.crash_by_part)
                return
            case CrashMoment.BEFORE_HEAD:
                self.later(seconds, run, self.crash_by_part)
                return
        self.later(
            seconds, run, self.next_event, request, head, run, head.after + 1
        )

    def draw_crash_moment(self, head: 'Head') -> CrashMoment | None:
        """Return when a request crashes the engine, if it does."""
        if self.pool.crashing_parts.isdisjoint(head.parts):
            return None
        moments = self.pool.crash_moments
        return moments[0] if len(moments) == 1 else self.rng.choice(moments)

    def next_event(
        self, request: server.Request, head: 'Head', run: Run, number: int
    ) -> None:
        """Write one event, and have the next one follow."""
        if run.crash_moment is CrashMoment.AT_HEAD:
            request.write(b'')
            self.later(CRASH_SECONDS, run, self.crash_by_part)
            return
        is_after_events = run.crash_moment is CrashMoment.AFTER_EVENTS
        if is_after_events and run.events >= EVENTS_BEFORE_CRASH:
            self.crash_by_part()
            return
        if number > content.events_wanted(head.body):
            run.answered = True
            request.finish()
            return
        self.say_if_leaving(request, head)
        run.events += 1
        request.write(content.event(head.body, number))
        self.later(
            self.pool.event_seconds,
            run,
            self.next_event,
            request,
            head,
            run,
            number + 1,
        )


class Head:
    """What a request to an engine says."""

    def __init__(self, request: server.Request) -> None:
        def field(name: str) -> str:
            return request.getHeader(name) or ''

        self.route = request.path.decode().split('/')[1]
        self.request_id = field('Request-Id')
        self.expected = field('Expect-Instance')
        self.copy_to = field('Kv-Backup')
        self.copy_from = field('Kv-From')
        self.copied_run = self.copy_from.partition('/')[2]
        self.after = int(field('Last-Event-Id') or 0)
        left = field('Request-Deadline')
        self.left = int(left) / 1000.0 if left else None
        self.parts = {
            part.partition(':')[0]
            for part in field('Prompt-Prefix').split(',')[:-1]
        }
        self.body = request.content.read()
