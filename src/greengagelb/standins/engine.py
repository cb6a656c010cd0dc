"""A stand-in for a model engine, with the failures that tests ask for.

Tokens are a digest of the prompt, the model's version and all tokens before,
so a checker can tell a right continuation from a mixed or shifted one. With
``sampled`` on, each attempt also draws its own nonce, as an engine that
samples does: two attempts from the same position then differ.

``POST /standin/faults`` takes a :class:`Faults`. ``GET /standin/starts`` tells
how often each prompt was run from its beginning.
"""

import collections
import dataclasses
import hashlib
import os
import secrets
import signal

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import server

from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import sse
from greengagelb.transport import answer_statements
from greengagelb.transport import http

KEEP_ENDED = 512
FAILED_STATUS = 500


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the stand-in does wrong from now on.

    ``silent`` stops writing to the connections that are open now, for good,
    while new connections work. ``stuck`` stops generating. The process dies
    of a prompt that holds ``dies_of``, where that is given. ``limit`` is named
    in the answers to ``generate`` and ``attach``. With ``states_leaving`` it
    serves, and says in each answer but not in its report that it leaves; with
    ``rest`` it turns ``generate`` and ``attach`` away and asks for that rest.
    With ``fails`` it answers each attempt with a 500 once it has run it.
    """

    silent: bool = False
    stuck: bool = False
    leaving: bool = False
    refuse: bool = False
    dies_of: str = ''
    limit: str = ''
    states_leaving: bool = False
    rest: str = ''
    fails: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt as the engine has it; positions count prior tokens too."""

    order: engine_api.GenerateOrder
    tokens: list[str]
    nonce: str
    ended: str = ''
    listener: 'Listener | None' = None


@dataclasses.dataclass(slots=True)
class Listener:
    """The connection that a run's tokens go to."""

    request: server.Request
    done: defer.Deferred
    position: int
    silent: bool = False
    gone: bool = False


def next_token(order: engine_api.GenerateOrder, run: Run) -> str:
    """Return the token that follows on ``run.tokens``."""
    previous = run.tokens[-1] if run.tokens else ''
    text = '|'.join(
        [
            order.model,
            order.version,
            order.adapter,
            order.prompt,
            str(len(run.tokens)),
            previous,
            run.nonce,
        ]
    )
    digest = hashlib.blake2b(text.encode(), digest_size=4).hexdigest()
    return f' {digest}'


class EngineStandIn:
    """An engine that generates one token per running request and step."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        name: str,
        model: str,
        version: str,
        step_seconds: float,
        most_running: int = 64,
        sampled: bool = False,
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.incarnation = secrets.token_hex(6)
        self.model = model
        self.version = version
        self.adapter = ''
        self.role = 'generate'
        self.fencing_number = 0
        self.step_seconds = step_seconds
        self.most_running = most_running
        self.sampled = sampled
        self.faults = Faults()
        self.runs: dict[tuple[str, str, int, str], Run] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.steps = 0
        self.prompt_tokens = 0
        self.app = klein.Klein()
        post = {'methods': ['POST']}
        self.app.route('/v1/generate', **post)(self.generate)
        self.app.route('/v1/attach', **post)(self.attach)
        self.app.route('/v1/cancel', **post)(self.cancel)
        self.app.route('/v1/target', **post)(self.target)
        self.app.route('/v1/report')(self.report)
        self.app.route('/standin/faults', **post)(self.set_faults)
        self.app.route('/standin/starts')(self.count_starts)

    # -- requests -----------------------------------------------------------

    def generate(self, request: server.Request) -> object:
        """Start or continue a generation."""
        answer_statements.set_limit_headers(
            request, self.faults.limit, self.incarnation
        )
        self.state_faults(request)
        order = codec.decode(request.content.read(), engine_api.GenerateOrder)
        if self.faults.rest:
            return self.refuse(request, 'overloaded', 503)
        if self.faults.refuse or self.faults.leaving:
            return self.refuse(request, 'leaving', 503)
        wanted = (order.model, order.version, order.adapter)
        if wanted != (self.model, self.version, self.adapter):
            return self.refuse(request, 'wrong-version', 409)
        if not order.received:
            self.starts[order.prompt] += 1
        if self.faults.fails:
            request.setResponseCode(FAILED_STATUS)
            return b'failed'
        nonce = secrets.token_hex(4) if self.sampled else ''
        run = Run(order, list(order.received), nonce)
        key = (order.account, order.request, order.generation, order.attempt)
        self.runs[key] = run
        self.prompt_tokens += len(order.prompt) // 4 + len(order.received)
        self.forget_ended()
        return self.listen(request, run, len(order.received))

    def attach(self, request: server.Request) -> object:
        """Stream a known attempt from a position on."""
        answer_statements.set_limit_headers(
            request, self.faults.limit, self.incarnation
        )
        self.state_faults(request)
        order = codec.decode(request.content.read(), engine_api.AttachOrder)
        if self.faults.rest:
            return self.refuse(request, 'overloaded', 503)
        key = (order.account, order.request, order.generation, order.attempt)
        run = self.runs.get(key)
        if run is None or order.position > len(run.tokens):
            return self.refuse(request, 'unknown-attempt', 404)
        if run.listener is not None and not run.listener.gone:
            run.listener.gone = True
            run.listener.done.callback(b'')
        return self.listen(request, run, order.position)

    def cancel(self, request: server.Request) -> bytes:
        """Stop an attempt."""
        order = codec.decode(request.content.read(), engine_api.CancelOrder)
        key = (order.account, order.request, order.generation, order.attempt)
        run = self.runs.get(key)
        was_running = run is not None and not run.ended
        if run is not None and not run.ended:
            run.ended = 'cancelled'
            self.flush(run)
        return http.json_answer(request, engine_api.CancelAnswer(was_running))

    def target(self, request: server.Request) -> bytes:
        """Take another model, version, adapter or role."""
        order = codec.decode(request.content.read(), engine_api.TargetOrder)
        if order.fencing_number < self.fencing_number:
            return self.refuse(request, 'stale-fencing-number', 409)
        self.fencing_number = order.fencing_number
        self.model = order.model
        self.version = order.version
        self.adapter = order.adapter
        self.role = order.role
        return self.report(request)

    def report(self, request: server.Request) -> bytes:
        """Tell what this engine is and does."""
        running = sum(not run.ended for run in self.runs.values())
        report = engine_api.EngineReport(
            name=self.name,
            incarnation=self.incarnation,
            model=self.model,
            version=self.version,
            adapter=self.adapter,
            running=min(running, self.most_running),
            queued=max(0, running - self.most_running),
            step_seconds=self.step_seconds,
            steps=self.steps,
            prompt_tokens=self.prompt_tokens,
            leaving=self.faults.leaving,
            role=self.role,
            fencing_number=self.fencing_number,
        )
        return http.json_answer(request, report)

    def set_faults(self, request: server.Request) -> bytes:
        """Behave wrongly from now on."""
        self.faults = codec.decode(request.content.read(), Faults)
        if self.faults.silent:
            for run in self.runs.values():
                if run.listener is not None:
                    run.listener.silent = True
        return b'{}'

    def count_starts(self, request: server.Request) -> bytes:
        """Tell how often each prompt was run from its beginning."""
        return http.json_answer(request, self.starts)

    def state_faults(self, request: server.Request) -> None:
        """State in an answer that this engine leaves, or wants rest."""
        answer_statements.set_statement_headers(
            request,
            leaving=self.faults.leaving or self.faults.states_leaving,
            rest=self.faults.rest,
        )

    def refuse(self, request: server.Request, code: str, status: int) -> bytes:
        """Answer that nothing was started."""
        return http.json_answer(
            request, engine_api.Refusal(code, self.name), status
        )

    # -- generating ---------------------------------------------------------

    def listen(
        self, request: server.Request, run: Run, position: int
    ) -> defer.Deferred:
        """Send a run's tokens from a position on to a connection."""
        request.setHeader(b'content-type', b'text/event-stream')
        listener = Listener(request, defer.Deferred(), position)
        run.listener = listener
        request.notifyFinish().addErrback(
            lambda _: setattr(listener, 'gone', True)
        )
        request.write(b'')
        self.flush(run)
        return listener.done

    def step(self) -> None:
        """Generate one token for each running request, by priority."""
        if self.faults.stuck:
            return
        waiting = [run for run in self.runs.values() if not run.ended]
        waiting.sort(key=lambda run: run.order.priority)
        for run in waiting[: self.most_running]:
            if self.faults.dies_of and self.faults.dies_of in run.order.prompt:
                os.kill(os.getpid(), signal.SIGKILL)
            self.steps += 1
            run.tokens.append(next_token(run.order, run))
            if len(run.tokens) >= run.order.most_tokens:
                run.ended = 'length'
            self.flush(run)

    def flush(self, run: Run) -> None:
        """Write what a run's listener has not had yet."""
        listener = run.listener
        if listener is None or listener.gone or listener.silent:
            return
        order = run.order
        fresh = run.tokens[listener.position :]
        if fresh:
            batch = engine_api.TokenBatch(
                order.generation, order.attempt, listener.position, fresh
            )
            listener.position += len(fresh)
            listener.request.write(
                sse.encode_event(codec.encode(batch), 'tokens')
            )
        if run.ended:
            ended = engine_api.AttemptEnded(
                order.generation, order.attempt, len(run.tokens), run.ended
            )
            listener.gone = True
            listener.done.callback(
                sse.encode_event(codec.encode(ended), 'ended')
            )

    def forget_ended(self) -> None:
        """Keep a bounded number of ended runs, for late attachments."""
        ended = [key for key, run in self.runs.items() if run.ended]
        for key in ended[:-KEEP_ENDED]:
            del self.runs[key]


def answer_to(text: str, most_tokens: int) -> list[str]:
    """Return what the stand-in's own model answers to a user's one message."""
    return answer_of(
        engine_api.GenerateOrder(
            account='',
            request='',
            generation=1,
            attempt='',
            model='m',
            version='1',
            adapter='',
            prompt=f'user: {text}',
            received=[],
            most_tokens=most_tokens,
            priority=0,
            deadline_seconds=0.0,
        )
    )


def answer_of(order: engine_api.GenerateOrder) -> list[str]:
    """Return the tokens that an unsampled engine generates for an order."""
    run = Run(order, list(order.received), '')
    while len(run.tokens) < order.most_tokens:
        run.tokens.append(next_token(order, run))
    return run.tokens
