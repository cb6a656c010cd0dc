"""Requests and answers as the platform's callers and engines write them."""

import h11
import msgspec

from greengagelb import errors
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.platform import rows
from greengagelb.protocol import limit_header
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client

REQUEST_ID = b'Request-Id'
# How long the sender still waits, in milliseconds: a time left, although its
# name says deadline.
TIME_LEFT = b'Request-Deadline'
RESUME_AFTER = b'Last-Event-Id'
KEY = b'Authorization'
KEY_SCHEME = b'bearer '
ACCOUNT = b'Tenant'
EXPECTED_ENGINE = b'Expect-Instance'
PRIORITY = b'Request-Priority'
# Tokens of the prompt, and the most tokens of the output.
TOKEN_COUNTS = b'Token-Counts'
# Parts of the prompt as ID:TOKENS; the last one belongs to one conversation.
PROMPT_PARTS = b'Prompt-Prefix'
# The engine that gets a copy of the run's memory as it grows.
COPY_TO = b'Kv-Backup'
# The engine that holds a copy, and the run's name there.
COPY_FROM = b'Kv-From'
SIGNATURE = b'Engine-Seal'
NOT_RUN = b'Not-Executed'
ENGINE = b'Instance-Id'
# Running, waiting, slots.
LOAD = b'Engine-Load'
# The requests a second that the engine takes from all instances together.
LIMIT = b'Server-Limit'
# What an engine tells of itself without a free slot.
PROBE_TARGET = b'/api/report'
# Has an engine copy a run's memory.
COPY_TARGET = b'/api/kv-move'
# The status of an engine that is not the one that was expected.
WRONG_ENGINE = 421
# What a caller may not set: it is the system's to say, or a secret.
NOT_PASSED_ON = frozenset(
    name.lower()
    for name in (
        KEY,
        ACCOUNT,
        TIME_LEFT,
        RESUME_AFTER,
        EXPECTED_ENGINE,
        PRIORITY,
        COPY_TO,
        COPY_FROM,
        b'Kv-Fetch',
        b'Hold',
        b'Pin-Ms',
        b'Expect-Version',
        b'Expect',
        b'Content-Length',
    )
)
# A caller that states no time gets what its route allows at the most.
NO_TIME_STATED = 3600.0


class CopyOrder(msgspec.Struct):
    """Copy the run of the request ``id`` to the engine at ``to``."""

    id: str
    to: str


class CopyAnswer(msgspec.Struct):
    """The copy is there, under ``handle``."""

    handle: str


class Report(msgspec.Struct):
    """What an engine tells of itself; ``born`` is when it was started.

    ``kv_total`` is the memory of a model engine, in tokens.
    """

    born: rows.StartMilliseconds = engines.UNKNOWN_START
    kv_total: rows.Amount = 0
    state: str = ''


class PlatformDialect:
    """Translates heads of requests and answers."""

    def read_request(
        self,
        exchange: int,
        head: h11.Request,
        body: bytes,
        received_at: float,
    ) -> requests.CallerRequest:
        """Return a caller's request.

        Raises :class:`~greengagelb.errors.ProtocolError`.
        """
        fields = tuple(head.headers.raw_items())
        kept = tuple(
            (name, value)
            for name, value in http1.select_end_to_end_headers(fields)
            if name.lower() not in NOT_PASSED_ON
        )
        left = read_number(fields, TIME_LEFT)
        seconds = NO_TIME_STATED if left is None else left / 1000.0
        host = single(fields, b'Host') or b''
        request_id = single(fields, REQUEST_ID)
        if not request_id:
            raise errors.ProtocolError('request without an id')
        return requests.CallerRequest(
            exchange,
            head.method,
            head.target,
            host.decode('latin-1').partition(':')[0],
            kept,
            body,
            request_id.decode('latin-1'),
            read_key(fields),
            received_at,
            received_at + seconds,
            read_number(fields, RESUME_AFTER),
            read_prompt(fields),
        )

    def write_send(
        self, send: relay_actions.Send, now: float
    ) -> http_client.WireRequest:
        """Return a request as its engine gets it."""
        request = send.request
        left = max(1, int((send.deadline - now) * 1000))
        headers = [
            *request.headers,
            (TIME_LEFT, str(left).encode()),
            (EXPECTED_ENGINE, send.engine.engine.encode()),
            (PRIORITY, str(send.priority).encode()),
        ]
        if send.account:
            headers.append((ACCOUNT, send.account.encode()))
        if send.resume_after is not None:
            headers.append((RESUME_AFTER, str(send.resume_after).encode()))
        if send.copy_to is not None:
            headers.append((COPY_TO, str(send.copy_to.address).encode()))
        if send.copy_from is not None:
            held = f'{send.copy_from.address}/{send.copy_from.name}'
            headers.append((COPY_FROM, held.encode()))
        return http_client.WireRequest(
            request.method, request.target, tuple(headers), request.body
        )

    def read_answer_head(self, response: h11.Response) -> requests.AnswerHead:
        """Return the head of an engine's answer."""
        fields = tuple(response.headers.raw_items())
        status = response.status_code
        engine = http1.first_header_value(fields, ENGINE.lower()) or b''
        return requests.AnswerHead(
            status,
            bytes(response.reason),
            http1.select_end_to_end_headers(fields),
            http1.first_header_value(fields, SIGNATURE.lower()) is not None,
            status == WRONG_ENGINE
            or http1.first_header_value(fields, NOT_RUN.lower()) is not None,
            read_load(http1.first_header_value(fields, LOAD.lower())),
            engine.decode('latin-1'),
            limit_header.parse_limit(values(fields, LIMIT)),
        )

    def is_answer_to(
        self, response: h11.Response, send: relay_actions.Send
    ) -> bool:
        """Return whether an answer is the one to a send.

        Refusals may come without the id of what they refuse.
        """
        fields = tuple(response.headers.raw_items())
        echoed = http1.first_header_value(fields, REQUEST_ID.lower())
        if echoed is None:
            return response.status_code >= 400
        return echoed == send.request.request_id.encode('latin-1')

    def write_probe(
        self, engine: engines.EngineEntry
    ) -> http_client.WireRequest:
        """Return a request that an engine answers while it lives."""
        host = (b'Host', str(engine.address).encode())
        return http_client.WireRequest(b'GET', PROBE_TARGET, (host,))

    def read_started_at_ms(self, status: int, body: bytes) -> int:
        """Return when an engine that was probed says that it was started."""
        return read_report(status, body).born

    def read_has_model_memory(self, status: int, body: bytes) -> bool:
        """Return whether what was probed is a model engine, and stays one."""
        report = read_report(status, body)
        return report.kv_total > 0 and report.state != rows.DRAINING

    def write_copy_request(
        self, copy: relay_actions.CopyRun
    ) -> http_client.WireRequest:
        """Return the order to copy a run's memory."""
        body = msgspec.json.encode(
            CopyOrder(copy.request_id, str(copy.target.address))
        )
        headers = (
            (b'Host', str(copy.source.address).encode()),
            (b'Content-Type', b'application/json'),
        )
        return http_client.WireRequest(b'POST', COPY_TARGET, headers, body)

    def read_copy_handle(self, status: int, body: bytes) -> str:
        """Return the handle in the answer to such an order, or ''."""
        if status != 200:
            return ''
        try:
            return msgspec.json.decode(body, type=CopyAnswer).handle
        except (msgspec.DecodeError, UnicodeDecodeError):
            return ''

    def write_identity_request(
        self, engine: engines.EngineEntry, path: str
    ) -> http_client.WireRequest:
        """Return a request whose answer names the engine that answers.

        One that expects an engine which is not there any more is answered
        by whoever is there, and runs nowhere.
        """
        host = (b'Host', str(engine.address).encode())
        expected = (EXPECTED_ENGINE, engine.engine.encode())
        return http_client.WireRequest(b'GET', path.encode(), (host, expected))

    def read_event_number(self, raw: bytes) -> int:
        """Return the number of an event of a stream."""
        for line in raw.split(b'\n'):
            name, _, value = line.partition(b':')
            if name == b'id' and value.strip().isdigit():
                return int(value)
        raise errors.ProtocolError('event without a number')


def read_report(status: int, body: bytes) -> Report:
    """Return what an engine tells of itself; nothing if it can't be read."""
    if status != 200:
        return Report()
    try:
        return msgspec.json.decode(body, type=Report)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Report()


def values(fields: requests.Headers, name: bytes) -> list[bytes]:
    """Return all values of a field."""
    return [v for n, v in fields if n.lower() == name.lower()]


def single(fields: requests.Headers, name: bytes) -> bytes | None:
    """Return a field's value; two of them would leave open which counts."""
    found = values(fields, name)
    if len(found) > 1:
        raise errors.ProtocolError(f'{name.decode()} stands twice')
    return found[0] if found else None


def read_number(fields: requests.Headers, name: bytes) -> int | None:
    """Return a field that holds a whole number."""
    value = single(fields, name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        raise errors.ProtocolError(f'{name.decode()} is not a whole number')
    return int(value)


def read_key(fields: requests.Headers) -> str | None:
    """Return the API key that a caller shows."""
    value = single(fields, KEY)
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip().decode('latin-1')


def read_prompt(fields: requests.Headers) -> requests.Prompt | None:
    """Return the sizes of a generation, if the request states them."""
    counts = single(fields, TOKEN_COUNTS)
    if counts is None:
        return None
    read, _, made = counts.partition(b',')
    if not read.strip().isdigit() or not made.strip().isdigit():
        raise errors.ProtocolError('token counts are not two numbers')
    parts = single(fields, PROMPT_PARTS) or b''
    own = parts.rsplit(b',', 1)[-1].partition(b':')[0].strip()
    return requests.Prompt(int(read), int(made), own.decode('latin-1'))


def read_load(value: bytes | None) -> engines.EngineLoad | None:
    """Return an engine's load, or None if it tells none that can be read."""
    if value is None:
        return None
    parts = value.split(b',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return engines.EngineLoad(running, waiting, slots)
