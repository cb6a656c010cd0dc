"""Converts requests and answers from and to the platform's formats."""

import h11
import msgspec

from greengagelb import errors
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.platform import rows
from greengagelb.protocol import codec
from greengagelb.protocol import limit_header
from greengagelb.protocol import statement_headers
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client

REQUEST_ID_HEADER = b'Request-Id'
# The time that the sender still waits, in milliseconds: a remaining time,
# although the header's name says deadline.
TIME_LEFT_HEADER = b'Request-Deadline'
RESUME_AFTER_HEADER = b'Last-Event-Id'
API_KEY_HEADER = b'Authorization'
API_KEY_SCHEME = b'bearer '
ACCOUNT_HEADER = b'Tenant'
EXPECTED_ENGINE_HEADER = b'Expect-Instance'
PRIORITY_HEADER = b'Request-Priority'
# Tokens of the prompt, and the maximum number of output tokens.
TOKEN_COUNTS_HEADER = b'Token-Counts'
# Prompt parts as ID:TOKENS; the last one is specific to a conversation.
PROMPT_PARTS_HEADER = b'Prompt-Prefix'
# The engine that the run's memory is copied to as it grows.
COPY_TO_HEADER = b'Kv-Backup'
# The engine that holds a copy of the memory, and the run's name there.
COPY_FROM_HEADER = b'Kv-From'
SIGNATURE_HEADER = b'Engine-Seal'
NOT_RUN_HEADER = b'Not-Executed'
ENGINE_ID_HEADER = b'Instance-Id'
# Running, waiting, slots.
LOAD_HEADER = b'Engine-Load'
# The requests per second that the engine accepts from all instances together.
RATE_LIMIT_HEADER = b'Server-Limit'
# Set to 1 by an engine that is about to end.
LEAVING_HEADER = b'Server-Leaving'
# How many requests an engine can turn away in a second before it fails.
REFUSAL_RATE_HEADER = b'Server-Brittle'
# An engine answers this without a free slot.
REPORT_PATH = b'/api/report'
# Makes an engine copy a run's memory.
COPY_PATH = b'/api/kv-move'
# The status that an engine other than the expected one answers with.
WRONG_ENGINE_STATUS = 421
# Not taken from callers: set by the system itself, or secret.
BLOCKED_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY_HEADER,
        ACCOUNT_HEADER,
        TIME_LEFT_HEADER,
        RESUME_AFTER_HEADER,
        EXPECTED_ENGINE_HEADER,
        PRIORITY_HEADER,
        COPY_TO_HEADER,
        COPY_FROM_HEADER,
        b'Kv-Fetch',
        b'Hold',
        b'Pin-Ms',
        b'Expect-Version',
        b'Expect',
        b'Content-Length',
    )
)
# For callers that send no deadline; the time limit of the route still applies.
DEFAULT_TIMEOUT_SECONDS = 3600.0


class CopyRequest(msgspec.Struct):
    """Asks an engine to copy the run of request ``id`` to address ``to``."""

    id: str
    to: str


class CopyAnswer(msgspec.Struct):
    """Says that the copy is complete; ``handle`` is its name."""

    handle: str


class Report(msgspec.Struct):
    """An engine's report on itself.

    ``born`` is its start in Unix milliseconds, ``kv_total`` the memory of a
    model engine in tokens.
    """

    born: rows.StartMilliseconds = engines.UNKNOWN_START
    kv_total: rows.Amount = 0
    state: str = ''


class ReportedRuns(msgspec.Struct):
    """The runs in an engine's report: id, tokens, events and priority."""

    runs: list[tuple[str, int, int, int]]


class PlatformDialect:
    """Converts requests and answers between the platform and the product."""

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
            if name.lower() not in BLOCKED_HEADERS
        )
        left = read_integer_header(fields, TIME_LEFT_HEADER)
        seconds = DEFAULT_TIMEOUT_SECONDS if left is None else left / 1000.0
        parts = read_prompt_parts(fields)
        host = single_header_value(fields, b'Host') or b''
        request_id = single_header_value(fields, REQUEST_ID_HEADER)
        if not request_id:
            raise errors.ProtocolError('request has no id')
        return requests.CallerRequest(
            exchange,
            head.method,
            head.target,
            host.decode('latin-1').partition(':')[0],
            kept,
            body,
            request_id.decode('latin-1'),
            read_api_key(fields),
            received_at,
            received_at + seconds,
            read_integer_header(fields, RESUME_AFTER_HEADER),
            read_prompt_sizes(fields, parts),
            parts[:-1],
        )

    def write_send(
        self, send: relay_actions.Send, now: float
    ) -> http_client.WireRequest:
        """Return a request as it is sent to its engine."""
        request = send.request
        left = max(1, int((send.deadline - now) * 1000))
        headers = [
            *request.headers,
            (TIME_LEFT_HEADER, str(left).encode()),
            (EXPECTED_ENGINE_HEADER, send.engine.engine.encode()),
            (PRIORITY_HEADER, str(send.priority).encode()),
        ]
        if send.account:
            headers.append((ACCOUNT_HEADER, send.account.encode()))
        if send.resume_after is not None:
            headers.append(
                (RESUME_AFTER_HEADER, str(send.resume_after).encode())
            )
        if send.copy_to is not None:
            headers.append(
                (COPY_TO_HEADER, str(send.copy_to.address).encode())
            )
        if send.copy_from is not None:
            held = f'{send.copy_from.address}/{send.copy_from.name}'
            headers.append((COPY_FROM_HEADER, held.encode()))
        return http_client.WireRequest(
            request.method, request.target, tuple(headers), request.body
        )

    def read_answer_head(self, response: h11.Response) -> requests.AnswerHead:
        """Return the head of an engine's answer."""
        fields = tuple(response.headers.raw_items())
        status = response.status_code
        engine = (
            http1.first_header_value(fields, ENGINE_ID_HEADER.lower()) or b''
        )
        return requests.AnswerHead(
            status,
            bytes(response.reason),
            http1.select_end_to_end_headers(fields),
            http1.first_header_value(fields, SIGNATURE_HEADER.lower())
            is not None,
            status == WRONG_ENGINE_STATUS
            or http1.first_header_value(fields, NOT_RUN_HEADER.lower())
            is not None,
            parse_load(http1.first_header_value(fields, LOAD_HEADER.lower())),
            engine.decode('latin-1'),
            limit_header.parse_limit(header_values(fields, RATE_LIMIT_HEADER)),
            statement_headers.parse_statement(
                status,
                header_values(fields, LEAVING_HEADER),
                header_values(fields, statement_headers.REST_HEADER),
                header_values(fields, REFUSAL_RATE_HEADER),
            ),
        )

    def is_answer_to(
        self, response: h11.Response, send: relay_actions.Send
    ) -> bool:
        """Return whether an answer belongs to a send.

        Error answers may lack the id of the request.
        """
        fields = tuple(response.headers.raw_items())
        echoed = http1.first_header_value(fields, REQUEST_ID_HEADER.lower())
        if echoed is None:
            return response.status_code >= 400
        return echoed == send.request.request_id.encode('latin-1')

    def write_probe(
        self, engine: engines.EngineEntry
    ) -> http_client.WireRequest:
        """Return a request that an engine answers while it is alive.

        Another engine that has its address turns the request away.
        """
        host = (b'Host', str(engine.address).encode())
        expected = (EXPECTED_ENGINE_HEADER, engine.engine.encode())
        return http_client.WireRequest(b'GET', REPORT_PATH, (host, expected))

    def read_started_at_ms(self, status: int, body: bytes) -> int:
        """Return an engine's start from its answer to a probe."""
        return parse_report(status, body).born

    def read_is_leaving(self, status: int, body: bytes) -> bool:
        """Return whether a probed engine reports that it leaves."""
        return parse_report(status, body).state == rows.DRAINING

    def read_run_events(
        self, status: int, body: bytes, request_id: str
    ) -> int | None:
        """Return how many events a probed engine reports for a run."""
        if status != 200:
            return None
        try:
            report = codec.decode(body, ReportedRuns)
        except errors.ProtocolError:
            return None
        events_by_id = {run[0]: run[2] for run in report.runs}
        return events_by_id.get(request_id)

    def read_has_model_memory(self, status: int, body: bytes) -> bool:
        """Return whether a probed engine is a model engine, not draining."""
        report = parse_report(status, body)
        return report.kv_total > 0 and report.state != rows.DRAINING

    def write_copy_request(
        self, copy: relay_actions.CopyRun
    ) -> http_client.WireRequest:
        """Return the request to copy a run's memory."""
        body = msgspec.json.encode(
            CopyRequest(copy.request_id, str(copy.target.address))
        )
        headers = (
            (b'Host', str(copy.source.address).encode()),
            (b'Content-Type', b'application/json'),
        )
        return http_client.WireRequest(b'POST', COPY_PATH, headers, body)

    def read_copy_handle(self, status: int, body: bytes) -> str:
        """Return the handle in the answer to a copy request, or ''."""
        if status != 200:
            return ''
        try:
            return codec.decode(body, CopyAnswer).handle
        except errors.ProtocolError:
            return ''

    def write_identity_request(
        self, engine: engines.EngineEntry, path: str
    ) -> http_client.WireRequest:
        """Return a request whose answer contains the engine's identity.

        If another engine now has the address, it answers instead and, as it
        is not the expected engine, does not run the request.
        """
        host = (b'Host', str(engine.address).encode())
        expected = (EXPECTED_ENGINE_HEADER, engine.engine.encode())
        return http_client.WireRequest(b'GET', path.encode(), (host, expected))

    def read_event_number(self, raw: bytes) -> int:
        """Return the number of an event of a stream."""
        for line in raw.split(b'\n'):
            name, _, value = line.partition(b':')
            number = http1.parse_digits(value)
            if name == b'id' and number is not None:
                return number
        raise errors.ProtocolError('event has no number')


def parse_report(status: int, body: bytes) -> Report:
    """Return an engine's report; an empty one if it can't be decoded."""
    if status != 200:
        return Report()
    try:
        return codec.decode(body, Report)
    except errors.ProtocolError:
        return Report()


def header_values(fields: requests.Headers, name: bytes) -> list[bytes]:
    """Return all values of a header field."""
    return [v for n, v in fields if n.lower() == name.lower()]


def single_header_value(fields: requests.Headers, name: bytes) -> bytes | None:
    """Return the value of a header field that may occur only once.

    Raises :class:`~greengagelb.errors.ProtocolError` if it is repeated, as
    either value could be the intended one.
    """
    found = header_values(fields, name)
    if len(found) > 1:
        raise errors.ProtocolError(f'{name.decode()} is given twice')
    return found[0] if found else None


def read_integer_header(fields: requests.Headers, name: bytes) -> int | None:
    """Return the value of a header field that contains an integer."""
    value = single_header_value(fields, name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        raise errors.ProtocolError(
            f'{name.decode()} is not an integer of up to 12 digits'
        )
    return int(value)


def read_api_key(fields: requests.Headers) -> str | None:
    """Return the API key in a caller's request."""
    value = single_header_value(fields, API_KEY_HEADER)
    if value is None or not value.lower().startswith(API_KEY_SCHEME):
        return None
    return value[len(API_KEY_SCHEME) :].strip().decode('latin-1')


def read_prompt_sizes(
    fields: requests.Headers, parts: tuple[str, ...]
) -> requests.Prompt | None:
    """Return the token counts of a generation, if the request has them."""
    counts = single_header_value(fields, TOKEN_COUNTS_HEADER)
    if counts is None:
        return None
    read, _, made = map(http1.parse_digits, counts.partition(b','))
    if read is None or made is None:
        raise errors.ProtocolError('token counts are not two numbers')
    single_header_value(fields, PROMPT_PARTS_HEADER)
    own_part = parts[-1] if parts else ''
    return requests.Prompt(read, made, own_part)


def read_prompt_parts(fields: requests.Headers) -> tuple[str, ...]:
    """Return the identities of the parts of a prompt, in their order."""
    return tuple(
        entry.partition(b':')[0].strip().decode('latin-1')
        for value in header_values(fields, PROMPT_PARTS_HEADER)
        for entry in value.split(b',')
    )


def parse_load(value: bytes | None) -> engines.EngineLoad | None:
    """Return an engine's load, or None if it is missing or malformed."""
    if value is None:
        return None
    counts = [http1.parse_digits(part) for part in value.split(b',')]
    if len(counts) != 3 or None in counts:
        return None
    return engines.EngineLoad(*counts)
