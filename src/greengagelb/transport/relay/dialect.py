"""What an adapter translates between the wire and the product's types."""

from typing import Protocol

import h11

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import http_client


class Dialect(Protocol):
    """Names and formats of one platform; it decides nothing."""

    def read_request(
        self,
        exchange: int,
        head: h11.Request,
        body: bytes,
        received_at: float,
    ) -> requests.CallerRequest:
        """Return a caller's request.

        Raises :class:`~greengagelb.errors.ProtocolError` where a field that
        decides something can't be read.
        """

    def write_send(
        self, send: relay_actions.Send, now: float
    ) -> http_client.WireRequest:
        """Return a request as its engine gets it."""

    def read_answer_head(self, response: h11.Response) -> requests.AnswerHead:
        """Return the head of an engine's answer."""

    def is_answer_to(
        self, response: h11.Response, send: relay_actions.Send
    ) -> bool:
        """Return whether an answer is the one to a send."""

    def write_probe(
        self, engine: engines.EngineEntry
    ) -> http_client.WireRequest:
        """Return a request that an engine answers while it lives.

        It needs no free slot, so that a busy engine answers too.
        """

    def read_started_at_ms(self, status: int, body: bytes) -> int:
        """Return when an engine that was probed says that it was started.

        In Unix milliseconds; ``UNKNOWN_START`` where it does not say.
        """

    def read_has_model_memory(self, status: int, body: bytes) -> bool:
        """Return whether what was probed is a model engine, and stays one."""

    def write_copy_request(
        self, copy: relay_actions.CopyRun
    ) -> http_client.WireRequest:
        """Return the order to copy a run's memory."""

    def read_copy_handle(self, status: int, body: bytes) -> str:
        """Return the handle in the answer to such an order, or ''."""

    def write_identity_request(
        self, engine: engines.EngineEntry, path: str
    ) -> http_client.WireRequest:
        """Return a request whose answer names the engine that answers."""

    def read_event_number(self, raw: bytes) -> int:
        """Return the number of an event of a stream.

        Raises :class:`~greengagelb.errors.ProtocolError` if it has none.
        """
