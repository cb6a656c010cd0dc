"""The interface of an adapter between a wire format and internal types."""

from typing import Protocol

import h11

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import http_client


class Dialect(Protocol):
    """Header names and body formats of one platform, without decisions."""

    def read_request(
        self,
        exchange: int,
        head: h11.Request,
        body: bytes,
        received_at: float,
    ) -> requests.CallerRequest:
        """Return a caller's request.

        Raises :class:`~greengagelb.errors.ProtocolError` if a field that
        decisions depend on can't be read.
        """

    def write_send(
        self, send: relay_actions.Send, now: float
    ) -> http_client.WireRequest:
        """Return a request as it is sent to its engine at a time."""

    def read_answer_head(self, response: h11.Response) -> requests.AnswerHead:
        """Return the head of an engine's answer."""

    def is_answer_to(
        self, response: h11.Response, send: relay_actions.Send
    ) -> bool:
        """Return whether an answer belongs to a send."""

    def write_probe(
        self, engine: engines.EngineEntry
    ) -> http_client.WireRequest:
        """Return a probe, which an engine answers while it is alive.

        It needs no free slot, so a busy engine answers too.
        """

    def read_started_at_ms(self, status: int, body: bytes) -> int:
        """Return the start time in an answer to a probe.

        In Unix milliseconds; ``UNKNOWN_START`` if the answer has none.
        """

    def read_is_leaving(self, status: int, body: bytes) -> bool:
        """Return whether an answer to a probe says that the engine leaves."""

    def read_run_events(
        self, status: int, body: bytes, request_id: str
    ) -> int | None:
        """Return how many events a probed engine reports for a run.

        None if its answer does not list the run.
        """

    def read_has_model_memory(self, status: int, body: bytes) -> bool:
        """Return whether a probed engine has a model and is not draining."""

    def write_copy_request(
        self, copy: relay_actions.CopyRun
    ) -> http_client.WireRequest:
        """Return the request that has an engine copy a run's memory."""

    def read_copy_handle(self, status: int, body: bytes) -> str:
        """Return the copy's handle in the answer to that request, or ''."""

    def write_identity_request(
        self, engine: engines.EngineEntry, path: str
    ) -> http_client.WireRequest:
        """Return a request whose answer states the engine's identity."""

    def read_event_number(self, raw: bytes) -> int:
        """Return the number of a stream's event.

        Raises :class:`~greengagelb.errors.ProtocolError` if it has none.
        """
