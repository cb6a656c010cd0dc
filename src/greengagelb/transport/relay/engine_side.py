"""Sends requests to engines and reports their answers as events."""

from collections.abc import Callable
import dataclasses

import h11

from greengagelb import errors
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state import identity
from greengagelb.state import statements
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport import answer_memory
from greengagelb.transport.relay import dialect
from greengagelb.transport.relay import event_stream
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import timed_requests
from greengagelb.transport.relay.forwarding import connection_race

MAX_ANSWER_BYTES = 32 << 20
# A live engine answers a probe in a few milliseconds, and within this time
# even if a packet is lost.
PROBE_SECONDS = 0.3
# Copying a usual run takes some milliseconds, or up to a second while all runs
# of a data centre are being copied.
COPY_SECONDS = 2.0

Dispatch = Callable[[relay_events.RelayEvent], None]


class EngineAnswer:
    """Receives the answer to one send.

    Nothing is reported after the first event that ends the send.
    """

    def __init__(self, side: 'EngineSide', send: relay_actions.Send) -> None:
        self.side = side
        self.send = send
        self.head: requests.AnswerHead | None = None
        self.splitter: event_stream.EventSplitter | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_over = False

    def answer_started(self, response: h11.Response) -> None:
        """Check that the answer belongs to the send before it is used.

        A late second answer to an earlier request differs from the answer to
        this one only in the request id that it echoes.
        """
        dialect = self.side.dialect
        head = dialect.read_answer_head(response)
        request_id = identity.RequestId(
            self.send.account, self.send.request.request_id
        )
        self.side.report_statement(self.send.engine, head, request_id)
        if not dialect.is_answer_to(response, self.send):
            self.reject_answer('answer to another request')
            return
        self.head = head
        if self.send.stream and self.head.is_success:
            self.splitter = event_stream.EventSplitter(
                dialect.read_event_number
            )
            self.dispatch_event(
                relay_events.AnswerStarted(
                    self.send.exchange, self.send.send, self.head
                )
            )

    def body_received(self, data: bytes) -> None:
        """Report complete events of a stream; collect any other body."""
        if self.splitter is None:
            self.append_body(data)
            return
        try:
            events = self.splitter.add_bytes(data)
        except errors.ProtocolError as exc:
            self.reject_answer(str(exc))
            return
        self.side.memory.hold(self, len(self.splitter.remainder))
        if events:
            self.dispatch_event(
                relay_events.StreamProgressed(
                    self.send.exchange, self.send.send, events
                )
            )

    def append_body(self, data: bytes) -> None:
        """Append a part of a body, up to ``MAX_ANSWER_BYTES``."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_ANSWER_BYTES:
            self.reject_answer('answer too large')
            return
        self.body.append(data)
        self.side.memory.hold(self, self.body_bytes)

    def answer_completed(self, *, ended_by_close: bool) -> None:
        """Report a complete answer."""
        exchange, send = self.send.exchange, self.send.send
        self.release()
        if self.splitter is None:
            body = b''.join(self.body)
            self.dispatch_event(
                relay_events.AnswerComplete(
                    exchange, send, self.head, body, ended_by_close
                )
            )
            return
        if self.splitter.remainder:
            self.answer_failed(True, 'ends within an event')
            return
        self.dispatch_event(
            relay_events.StreamComplete(exchange, send, ended_by_close)
        )

    def answer_failed(self, handed_over: bool, detail: str) -> None:
        """Report that there will be no complete answer."""
        is_path_lost = self.side.is_path_lost(self.send)
        self.release()
        self.dispatch_event(
            relay_events.SendFailed(
                self.send.exchange,
                self.send.send,
                handed_over,
                detail,
                is_path_lost,
            )
        )

    def reject_answer(self, detail: str) -> None:
        """Close the connection, since its input can't be trusted."""
        self.side.abandon_send(self.send.exchange, self.send.send)
        self.answer_failed(True, detail)

    def release(self) -> None:
        """Stop holding the answer, which has ended."""
        self.is_over = True
        self.side.forget_send(self.send)
        self.side.memory.release(self)

    def dispatch_event(self, event: relay_events.RelayEvent) -> None:
        """Hand an event to the decisions."""
        self.side.dispatch(event)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingSend:
    """A send without a final event, and the receiver of its answer."""

    request: http_client.PendingRequest
    answer: EngineAnswer


class EngineSide:
    """The sends, probes and other requests to engines.

    ``pending_sends`` has the sends without a final event, by exchange and
    number of the send, and ``runs`` the requests of those that another engine
    may go on with, by exchange and then by send. ``admits`` tells whether an
    engine may be sent a caller's request now, and ``opener`` opens
    connections. ``memory`` bounds what all answers hold.
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        wire_dialect: dialect.Dialect,
        dispatch: Dispatch,
        admits: Callable[[engines.EngineEntry], bool],
        opener: connection_race.ConnectionOpener,
    ) -> None:
        self.pool = pool
        self.opener = opener
        self.dialect = wire_dialect
        self.dispatch = dispatch
        self.admits = admits
        self.pending_sends: dict[tuple[int, int], PendingSend] = {}
        self.runs: dict[int, dict[int, http_client.PendingRequest]] = {}
        self.memory = answer_memory.AnswerMemory()

    def send_request(self, send: relay_actions.Send) -> None:
        """Send a caller's request to an engine."""
        key = (send.exchange, send.send)
        answer = EngineAnswer(self, send)
        pending = self.pool.request(
            send.engine.life,
            send.engine.address,
            lambda: self.write_send(send),
            answer,
            fresh=send.fresh or self.opener.paths.is_silent(send.engine),
            is_admitted=lambda: self.admits(send.engine),
            open_connection=lambda waiting: self.opener.open_for(
                send.engine,
                identity.RequestId(send.account, send.request.request_id),
                waiting,
                is_leased=send.is_resumable,
            ),
        )
        if not (pending.is_finished or answer.is_over):
            self.pending_sends[key] = PendingSend(pending, answer)
            if send.is_resumable:
                self.runs.setdefault(send.exchange, {})[send.send] = pending
                self.update_leases(send.exchange)

    def write_send(self, send: relay_actions.Send) -> http_client.WireRequest:
        """Return what is written for a send, on its connection."""
        if send.is_resumable:
            self.update_leases(send.exchange)
        return self.dialect.write_send(send, self.pool.reactor.seconds())

    def update_leases(self, exchange: int) -> None:
        """Suspend the leases of runs that have another one beside them.

        Whichever of two runs is ended then ends at its engine in time, even if
        the instance between does not hear of it.
        """
        runs = self.runs.get(exchange, {})
        for pending in runs.values():
            connection = pending.connection
            if connection is not None and connection.lease is not None:
                connection.lease.set_suspended(len(runs) > 1)

    def report_statement(
        self,
        entry: engines.EngineEntry,
        head: requests.AnswerHead,
        request_id: identity.RequestId | None = None,
    ) -> None:
        """Report what the head of an answer states about its engine."""
        if head.statement == statements.NO_STATEMENT:
            return
        self.dispatch(
            relay_events.EngineStated(
                entry, head.statement, head.status, head.engine, request_id
            )
        )

    def query_engine(
        self,
        entry: engines.EngineEntry,
        request: http_client.WireRequest,
        seconds: float,
        done: Callable[[timed_requests.Answer], None],
        fresh: bool = False,
        via: str = '',
    ) -> None:
        """Send an engine a request of this instance, with a timeout.

        ``done`` is called with the answer or its failure. It goes through the
        instance ``via``, if one is named and a connection there opens soon.
        """
        timed_request = timed_requests.TimedRequest(
            entry.life,
            entry.address,
            request,
            seconds,
            fresh=fresh or bool(via) or self.opener.paths.is_silent(entry),
            allows_for_own_pause=True,
            open_connection=lambda waiting: self.opener.open_for(
                entry, None, waiting, via=via
            ),
        )

        def head_received(response: h11.Response) -> None:
            head = self.dialect.read_answer_head(response)
            self.report_statement(entry, head)

        timed_requests.send_timed_request(
            self.pool, timed_request, done, head_received
        )

    def probe_engine(self, probe: relay_actions.ProbeEngine) -> None:
        """Probe an engine; any answer of its own shows that it is alive.

        The probe goes the run's way, if that opens.
        """
        run_via = self.via_of_send(probe.exchange, probe.send)
        asked_at = self.pool.reactor.seconds()

        def done(answer: timed_requests.Answer) -> None:
            is_replaced = is_misdirected(answer)
            self.dispatch(
                relay_events.EngineProbed(
                    probe.exchange,
                    probe.send,
                    answer.response is not None and not is_replaced,
                    self.read_probed_start_ms(probe.engine, answer),
                    self.read_run_events(probe, answer),
                    is_replaced,
                    asked_at,
                    answer.via,
                    answer.via if run_via is None else run_via,
                )
            )

        request = self.dialect.write_probe(probe.engine)
        self.query_engine(
            probe.engine, request, PROBE_SECONDS, done, via=run_via or ''
        )

    def via_of_send(self, exchange: int, send: int) -> str | None:
        """Return the instance through which a send goes, empty if direct.

        None if its connection is not open yet.
        """
        pending = self.pending_sends.get((exchange, send))
        if pending is None or pending.request.connection is None:
            return None
        return pending.request.connection.via

    def read_run_events(
        self, probe: relay_actions.ProbeEngine, answer: timed_requests.Answer
    ) -> int | None:
        """Return how many events an engine reports for the probed run."""
        if answer.response is None:
            return None
        return self.dialect.read_run_events(
            answer.response.status_code, answer.body, probe.request_id
        )

    def read_probed_start_ms(
        self, entry: engines.EngineEntry, answer: timed_requests.Answer
    ) -> int:
        """Return the engine's start time in the answer to a probe.

        In Unix milliseconds, or ``UNKNOWN_START``. It is reported if the
        answer says that the engine leaves, unless it is of another life.
        """
        if answer.response is None:
            return engines.UNKNOWN_START
        status = answer.response.status_code
        started_at_ms = self.dialect.read_started_at_ms(status, answer.body)
        if started_at_ms in (
            engines.UNKNOWN_START,
            entry.started_at_ms,
        ) and self.dialect.read_is_leaving(status, answer.body):
            statement = statements.Statement(leaving=True)
            self.dispatch(relay_events.EngineStated(entry, statement, status))
        return started_at_ms

    def check_engine(self, check: relay_actions.CheckEngine) -> None:
        """Check on a new connection whether an engine has ended.

        It has if its address refuses connections, or if a later start of it or
        another engine answers there.
        """
        entry = check.entry

        def done(answer: timed_requests.Answer) -> None:
            fate = relay_events.EngineFate.ALIVE
            if (
                answer.connection_refused
                or is_misdirected(answer)
                or entry.is_earlier_than(
                    self.read_probed_start_ms(entry, answer)
                )
            ):
                fate = relay_events.EngineFate.ENDED
            elif answer.response is None:
                fate = relay_events.EngineFate.UNKNOWN
            self.dispatch(relay_events.EngineChecked(entry, fate))

        request = self.dialect.write_probe(entry)
        self.query_engine(entry, request, PROBE_SECONDS, done, fresh=True)

    def copy_run(self, copy: relay_actions.CopyRun) -> None:
        """Have an engine copy a run's memory to another engine."""

        def done(answer: timed_requests.Answer) -> None:
            response = answer.response
            status = response.status_code if response is not None else 0
            self.dispatch(
                relay_events.RunCopied(
                    copy.exchange,
                    copy.send,
                    copy.target.engine,
                    self.dialect.read_copy_handle(status, answer.body),
                )
            )

        request = self.dialect.write_copy_request(copy)
        self.query_engine(copy.source, request, COPY_SECONDS, done)

    def ask_successor(self, question: relay_actions.ProbeAddress) -> None:
        """Ask on a new connection which engine answers at an address.

        If it is the same engine, its start time is requested as well, as it
        may have crashed and restarted.
        """
        entry = question.entry

        def done(answer: timed_requests.Answer) -> None:
            found, is_replaced = '', False
            if answer.response is not None:
                head = self.dialect.read_answer_head(answer.response)
                found = head.engine
                is_misdirected = head.status == calls.MISDIRECTED_REQUEST
                is_replaced = is_misdirected or found not in (
                    '',
                    entry.engine,
                )
            if found == entry.engine:
                self.ask_for_start(entry)
            elif found and question.may_be_another_service:
                self.ask_for_model_memory(entry, found)
            else:
                self.dispatch(
                    relay_events.AddressProbed(
                        entry.engine, found, is_replaced=is_replaced
                    )
                )

        request = self.dialect.write_identity_request(entry, question.path)
        self.query_engine(entry, request, PROBE_SECONDS, done, fresh=True)

    def ask_for_model_memory(
        self, entry: engines.EngineEntry, found: str
    ) -> None:
        """Ask the engine at an address whether it is a model engine.

        An address is reused only after seconds, so the engine that answers is
        the one that has just stated its identity there.
        """

        def done(answer: timed_requests.Answer) -> None:
            has_memory = (
                answer.response is not None
                and self.dialect.read_has_model_memory(
                    answer.response.status_code, answer.body
                )
            )
            self.dispatch(
                relay_events.AddressProbed(
                    entry.engine,
                    found,
                    has_model_memory=has_memory,
                    is_replaced=True,
                )
            )

        request = self.dialect.write_probe(entry)
        self.query_engine(entry, request, PROBE_SECONDS, done, fresh=True)

    def ask_for_start(self, entry: engines.EngineEntry) -> None:
        """Ask an engine for its start time."""

        def done(answer: timed_requests.Answer) -> None:
            start = self.read_probed_start_ms(entry, answer)
            self.dispatch(
                relay_events.AddressProbed(entry.engine, entry.engine, start)
            )

        request = self.dialect.write_probe(entry)
        self.query_engine(entry, request, PROBE_SECONDS, done, fresh=True)

    def abandon_send(self, exchange: int, send: int) -> None:
        """Close the connection of a send that is no longer wanted."""
        pending = self.pending_sends.pop((exchange, send), None)
        if pending is not None:
            pending.request.abandon()
            self.memory.release(pending.answer)
            self.forget_run(exchange, send)

    def forget_send(self, send: relay_actions.Send) -> None:
        """Remove a send that has ended."""
        self.pending_sends.pop((send.exchange, send.send), None)
        self.forget_run(send.exchange, send.send)

    def forget_run(self, exchange: int, send: int) -> None:
        """Remove a run that has ended; one that is left is renewed again."""
        runs = self.runs.get(exchange)
        if runs is None:
            return
        runs.pop(send, None)
        if not runs:
            del self.runs[exchange]
        self.update_leases(exchange)

    def is_path_lost(self, send: relay_actions.Send) -> bool:
        """Return whether the path to a send's instance between was lost."""
        pending = self.pending_sends.get((send.exchange, send.send))
        if pending is None or pending.request.connection is None:
            return False
        return pending.request.connection.is_path_lost


def is_misdirected(answer: timed_requests.Answer) -> bool:
    """Return whether another engine than the named one has answered."""
    response = answer.response
    return (
        response is not None
        and response.status_code == calls.MISDIRECTED_REQUEST
    )
