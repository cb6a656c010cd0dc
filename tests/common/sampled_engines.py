"""Engines that sample: two attempts at one generation give other tokens.

With an engine that always gives the same answer, a stream glued together
from two attempts looks whole. Here every run has tokens of its own, so a
glued stream is a prefix of no run and shows.
"""

import dataclasses
import enum
import itertools

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.state import identity

FAILED = 'failed'


class Health(enum.Enum):
    """What an engine does with what it is sent."""

    ALIVE = 'alive'
    PAUSED = 'paused'
    CUT_OFF = 'cut off'
    DEAD = 'dead'


@dataclasses.dataclass
class Run:
    """An attempt as its engine has it; ``tokens`` include those received."""

    order: actions.StartAttempt
    version: str
    nonce: int
    tokens: list[str]
    ended: str = ''
    waits: bool = False

    def generate(self, count: int) -> None:
        """Sample some tokens, and end at the length asked for."""
        for _ in range(count):
            if self.ended or self.waits:
                return
            self.tokens.append(f'{self.nonce}.{len(self.tokens)}')
            if len(self.tokens) >= self.order.most_tokens:
                self.ended = 'length'


@dataclasses.dataclass(eq=False)
class Connection:
    """One connection of an instance to a run; events come in their order."""

    instance: str
    attempt: identity.AttemptId
    run: Run | None
    position: int = 0
    silent: bool = False
    queue: list[events.Event] = dataclasses.field(default_factory=list)

    def collect(self) -> None:
        """Queue what the run has that was not yet written here."""
        run = self.run
        if run is None or self.silent:
            return
        fresh = tuple(run.tokens[self.position :])
        if fresh:
            event = events.TokensArrived(self.attempt, self.position, fresh)
            self.queue.append(event)
            self.position += len(fresh)
        if run.ended:
            self.queue.append(
                events.AttemptEnded(self.attempt, self.position, run.ended)
            )
            self.run = None


class SampledEngine:
    """A fake engine at the seam of actions and events."""

    nonces = itertools.count(1)

    def __init__(self, name: str, version: str = '1') -> None:
        self.name = name
        self.version = version
        self.health = Health.ALIVE
        self.starts = 1
        self.full = False
        self.failing = False
        self.runs: dict[identity.AttemptId, Run] = {}
        self.connections: list[Connection] = []
        self.unread: list[tuple[Connection, actions.Action]] = []

    @property
    def incarnation(self) -> str:
        """Return the incarnation, which changes with each start."""
        return f'{self.name}#{self.starts}'

    def report(self) -> events.UpstreamReported | events.UpstreamUnreachable:
        """Return what a probe of this engine leads to."""
        if self.health is not Health.ALIVE:
            dead = self.health is Health.DEAD
            return events.UpstreamUnreachable(self.name, refused=dead)
        running = sum(not run.ended for run in self.runs.values())
        return events.UpstreamReported(
            identity.EngineId(self.name, self.incarnation),
            'm',
            self.version,
            '',
            running,
            0,
            0.004,
            False,
        )

    # -- orders -------------------------------------------------------------

    def open(
        self,
        instance: str,
        order: actions.StartAttempt | actions.AttachAttempt,
    ) -> Connection:
        """Take an order on a connection of its own."""
        connection = Connection(instance, order.attempt, None)
        match self.health:
            case Health.DEAD:
                broken = events.AttemptBroken(order.attempt, 'refused', False)
                connection.queue.append(broken)
            case Health.CUT_OFF:
                timeout = events.AttemptBroken(
                    order.attempt, 'TimeoutError', False, unreachable=True
                )
                connection.queue.append(timeout)
            case Health.PAUSED:
                self.unread.append((connection, order))
            case Health.ALIVE:
                self.obey(connection, order)
        return connection

    def obey(self, connection: Connection, order: actions.Action) -> None:
        """Carry out an order that has been read."""
        match order:
            case actions.StartAttempt():
                if self.full or order.version != self.version:
                    self.refuse(connection, 'not-here')
                    return
                self.runs[order.attempt] = Run(
                    order,
                    self.version,
                    next(self.nonces),
                    list(order.received),
                )
                connection.position = len(order.received)
                if self.failing:
                    self.fail(connection)
                    return
            case actions.AttachAttempt():
                run = self.runs.get(order.attempt)
                if run is None or order.position > len(run.tokens):
                    self.refuse(connection, 'unknown-attempt')
                    return
                if run.ended == FAILED:
                    self.fail(connection)
                    return
                connection.position = order.position
                self.break_connections(order.attempt)
        connection.run = self.runs[connection.attempt]
        connection.queue.append(events.AttemptAccepted(connection.attempt))
        self.connections.append(connection)

    def refuse(self, connection: Connection, code: str) -> None:
        """Answer that nothing was started."""
        connection.queue.append(
            events.AttemptRefused(connection.attempt, code, None)
        )

    def fail(self, connection: Connection) -> None:
        """Answer with a failure after the run was started."""
        self.runs[connection.attempt].ended = FAILED
        connection.queue.append(
            events.AttemptFailed(connection.attempt, 'status-500')
        )

    def break_connections(self, attempt: identity.AttemptId) -> None:
        """Close what is open for an attempt: one connection may follow it."""
        for connection in self.connections:
            if connection.attempt == attempt and connection.run is not None:
                connection.run = None
                broken = events.AttemptBroken(attempt, 'closed', True)
                connection.queue.append(broken)

    def cancel(self, attempt: identity.AttemptId) -> events.Event:
        """Stop a run, and return what the canceller hears."""
        if self.health is not Health.ALIVE:
            return events.CancelFailed(attempt)
        run = self.runs.get(attempt)
        if run is not None and not run.ended:
            run.ended = 'cancelled'
        return events.AttemptCancelled(attempt)

    # -- what happens to it -------------------------------------------------

    def generate(self, count: int) -> None:
        """Sample some tokens for every run and write them out."""
        if self.health not in (Health.ALIVE, Health.CUT_OFF):
            return
        for run in self.runs.values():
            run.generate(count)
        for connection in self.connections:
            connection.collect()

    def kill(self) -> None:
        """End the process; the kernel closes its connections."""
        self.health = Health.DEAD
        for connection in self.connections:
            if connection.run is not None and not connection.silent:
                connection.run = None
                connection.queue.append(
                    events.AttemptBroken(connection.attempt, 'reset', True)
                )
        for connection, order in self.unread:
            connection.queue.append(
                events.AttemptBroken(order.attempt, 'reset', True)
            )
        self.unread.clear()
        self.connections.clear()
        self.runs.clear()

    def pause(self) -> None:
        """Stop the process without closing anything."""
        if self.health is Health.ALIVE:
            self.health = Health.PAUSED

    def cut_off(self) -> None:
        """Lose the way to the engine; its open connections stay silent."""
        if self.health is Health.ALIVE:
            self.silence()
            self.health = Health.CUT_OFF

    def reach_again(self) -> None:
        """Let new connections reach the engine, which has gone on."""
        if self.health is Health.CUT_OFF:
            self.health = Health.ALIVE

    def come_back(self) -> None:
        """Start anew after a death, or go on as if nothing had happened."""
        if self.health is Health.DEAD:
            self.starts += 1
        self.health = Health.ALIVE
        unread, self.unread = self.unread, []
        for connection, order in unread:
            self.obey(connection, order)

    def silence(self) -> None:
        """Lose track of the open connections; new ones work."""
        for connection in self.connections:
            connection.silent = True
