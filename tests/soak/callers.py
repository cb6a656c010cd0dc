"""Callers that send requests all the while, and keep what they got."""

import dataclasses
import enum
import itertools
import random

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from tests.soak import content

HOST = 'api.example'
# The part that all prompts begin with.
COMMON_PART = 'c0'
# While most new connections go to one instance, callers pause for this share
# of their usual time.
CROWD_PAUSE_SHARE = 0.3
MOST_EVENTS = 80
LEAST_EVENTS = 5


class Kind(enum.Enum):
    """What a request is, and the prefix of its route."""

    STREAM = 'stream'
    CALL = 'call'
    QUERY = 'query'
    LETTER = 'letter'


# How long callers wait for an answer.
LIMIT_SECONDS = {
    Kind.STREAM: 10.0,
    Kind.CALL: 1.0,
    Kind.QUERY: 1.0,
    Kind.LETTER: 10.0,
}
# Letters are streams that may not be resumed.
STREAMING = frozenset({Kind.STREAM, Kind.LETTER})
RUN_ONCE = frozenset({Kind.CALL, Kind.LETTER})


@dataclasses.dataclass(slots=True)
class Outcome:
    """One request, and what its caller got of an answer.

    ``status`` is None where no head came, and ``whole`` tells that the
    answer ended as complete. ``given_up`` is set where the caller left.
    """

    request_id: str
    kind: Kind
    body: bytes
    instance: str
    began_at: float
    after: int = 0
    ended_at: float | None = None
    status: int | None = None
    sealed: bool = False
    answer: bytes = b''
    whole: bool = False
    given_up: bool = False
    error: str = ''
    retry_after: str = ''
    parts: tuple[str, ...] = (COMMON_PART,)


class Gatherer(protocol.Protocol):
    """Gathers the body of an answer."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self.done = defer.Deferred(self.leave)

    def leave(self, done: defer.Deferred) -> None:
        """Close the connection: the caller has left."""
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Keep what comes."""
        self.outcome.answer += data

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:
        """Note whether the answer was whole."""
        self.outcome.whole = bool(reason.check(client.ResponseDone))
        self.outcome.error = '' if self.outcome.whole else str(reason.type)
        if not self.done.called:
            self.done.callback(None)


class Body:
    """A request's body that is there at once."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: object) -> defer.Deferred:
        """Write all of it."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """All has been written."""

    def stopProducing(self) -> None:
        """All has been written."""


class Callers:
    """Sends requests to instances as long as it is asked to.

    ``key`` is the API key that callers show.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, rng: random.Random, run: str
    ) -> None:
        self.reactor = reactor
        self.rng = rng
        self.run = run
        self.key = 'first-key'
        self.numbers = itertools.count(1)
        self.outcomes: list[Outcome] = []
        self.pool = client.HTTPConnectionPool(reactor)
        self.pool.retryAutomatically = False
        self.pool.cachedConnectionTimeout = 8
        self.agent = client.Agent(reactor, connectTimeout=1, pool=self.pool)
        self.fresh_agent = client.Agent(reactor, connectTimeout=1)
        self.crowded: object | None = None
        self.least_events = LEAST_EVENTS
        self.most_events = MOST_EVENTS
        self.limits = dict(LIMIT_SECONDS)
        self.kinds = [Kind.STREAM, Kind.CALL, Kind.QUERY]

    @defer.inlineCallbacks
    def caller(
        self, instances: list, until: float, kinds: list[Kind]
    ) -> object:
        """Send one request of some kind after the other."""
        while self.reactor.seconds() < until:
            pause = self.rng.expovariate(5.0)
            if self.crowded is not None:
                pause *= CROWD_PAUSE_SHARE
            yield task.deferLater(self.reactor, pause, lambda: None)
            ready = [i for i in instances if i.ready] or instances
            kind, chosen = self.rng.choice(kinds), self.rng.choice(ready)
            if self.crowded is not None and self.crowded.ready:
                chosen = self.crowded
            found = yield self.ask(kind, chosen)
            if found.kind is Kind.STREAM and found.answer and not found.whole:
                yield self.come_back(found, self.rng.choice(ready))

    def come_back(self, broken: Outcome, instance: object) -> defer.Deferred:
        """Have a broken stream go on at another instance."""
        whole_events = broken.answer.count(b'\n\n')
        return self.ask(
            Kind.STREAM,
            instance,
            body=broken.body,
            after=broken.after + whole_events,
        )

    @defer.inlineCallbacks
    def ask(
        self,
        kind: Kind,
        instance: object,
        body: bytes = b'',
        after: int = 0,
        parts: tuple[str, ...] = (COMMON_PART,),
    ) -> object:
        """Send one request; return its outcome.

        ``parts`` are those of its prompt that others may have as well.
        """
        request_id = f'{self.run}-{next(self.numbers)}'
        if not body:
            events = self.rng.randint(self.least_events, self.most_events)
            body = content.stream_body(request_id, events)
        now = self.reactor.seconds()
        outcome = Outcome(request_id, kind, body, instance.name, now, after)
        outcome.parts = parts
        self.outcomes.append(outcome)
        limit = self.limits[kind]
        target = f'http://{instance.host}:{instance.port}/{kind.value}/x'
        agent = self.agent if self.crowded is None else self.fresh_agent
        asked = agent.request(
            b'POST',
            target.encode(),
            self.headers(outcome, limit),
            Body(body),
        )
        leaves = self.rng.random() < 0.04
        patience = self.rng.uniform(0.05, 0.5) if leaves else limit + 2.0
        leaves_at = now + patience
        try:
            yield self.gather(asked, outcome).addTimeout(
                patience, self.reactor
            )
        except defer.TimeoutError:
            outcome.given_up = leaves
            outcome.error = 'no end'
        except Exception as exc:  # noqa: BLE001 - any failure is an outcome
            outcome.error = repr(exc)[:200]
            # Who leaves before the head of an answer gets no TimeoutError.
            outcome.given_up = leaves and self.reactor.seconds() >= leaves_at
        outcome.ended_at = self.reactor.seconds()
        return outcome

    @defer.inlineCallbacks
    def gather(self, asked: defer.Deferred, outcome: Outcome) -> object:
        """Take the answer in."""
        answer: iweb.IResponse = yield asked
        outcome.status = answer.code
        outcome.sealed = answer.headers.hasHeader('Engine-Seal')
        outcome.retry_after = answer.headers.getRawHeaders(
            'Retry-After', ['']
        )[0]
        gatherer = Gatherer(outcome)
        answer.deliverBody(gatherer)
        yield gatherer.done

    def headers(self, outcome: Outcome, limit: float) -> http_headers.Headers:
        """Return the head of a request."""
        fields = {
            'Host': HOST,
            'Request-Id': outcome.request_id,
            'Request-Deadline': str(int(limit * 1000)),
            'Authorization': f'Bearer {self.key}',
        }
        if outcome.kind in STREAMING:
            fields['Token-Counts'] = '2000,300'
            part = outcome.body.partition(b',')[0].decode()
            shared = ''.join(f'{part}:100,' for part in outcome.parts)
            fields['Prompt-Prefix'] = f'{shared}{part}:1900'
        if outcome.after:
            fields['Last-Event-Id'] = str(outcome.after)
        return http_headers.Headers(
            {name: [value] for name, value in fields.items()}
        )
