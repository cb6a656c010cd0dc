"""A caller that reads a streamed answer event by event."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import http.client
import json
from typing import Any

from greengagelb.standins import engine
from tests.common import fleet


@dataclasses.dataclass
class StreamEvent:
    """An event of a streamed answer."""

    kind: str
    event_id: str
    data: Any


@dataclasses.dataclass
class StreamCaller:
    """What a caller holds of one answer, over all its connections."""

    prompt: str
    most_tokens: int
    key: str = fleet.ACCOUNT_KEY
    service: str = 'draft'
    tokens: list[str] = dataclasses.field(default_factory=list)
    cursor: str = ''
    finish_reason: str = ''
    error: Any = None

    def body(self) -> dict[str, Any]:
        """Return the body of the request."""
        return {
            'model': self.service,
            'messages': [{'role': 'user', 'content': self.prompt}],
            'max_tokens': self.most_tokens,
            'received': self.tokens,
        }

    def read(self, port: int) -> Iterator[StreamEvent]:
        """Ask an instance, from where the answer broke off, and yield."""
        headers = fleet.bearer(self.key)
        if self.cursor:
            headers['Last-Event-ID'] = self.cursor
        connection = http.client.HTTPConnection(fleet.HOST, port, timeout=20)
        raw = json.dumps(self.body())
        connection.request('POST', '/v1/chat/completions', raw, headers)
        answer = connection.getresponse()
        if answer.status != 200:
            self.error = json.loads(answer.read())
            return
        for event in read_events(answer):
            self.take(event)
            yield event
        connection.close()

    def take(self, event: StreamEvent) -> None:
        """Keep what an event brings, and check that it fits."""
        if event.kind == 'error':
            self.error = event.data
            return
        if event.kind == 'restart':
            self.tokens.clear()
            self.cursor = event.event_id
            return
        if event.data == '[DONE]':
            return
        assert event.data['position'] == len(self.tokens)
        self.tokens.extend(event.data['tokens'])
        self.cursor = event.event_id or self.cursor
        reason = event.data['choices'][0].get('finish_reason')
        self.finish_reason = reason or self.finish_reason

    def read_all(self, port: int) -> None:
        """Read until the stream ends."""
        for _ in self.read(port):
            pass

    def read_and_act(
        self, port: int, act: Callable[[], object], at: int = 50
    ) -> None:
        """Read a whole answer, and act once when some tokens are there."""
        acted = False
        for _ in self.read(port):
            if len(self.tokens) > at and not acted:
                act()
                acted = True
        assert acted
        assert self.error is None
        assert len(self.tokens) == self.most_tokens

    def right_answer(self) -> list[str]:
        """Return what an engine that never failed would have generated."""
        return engine.answer_to(self.prompt, self.most_tokens)


def read_events(answer: http.client.HTTPResponse) -> Iterator[StreamEvent]:
    """Yield the events of a response until it ends."""
    fields: dict[str, str] = {}
    while True:
        try:
            line = answer.readline().decode().rstrip('\n')
        except (http.client.HTTPException, OSError):
            return
        if not line and not fields:
            return
        if not line:
            data = fields.get('data', '')
            parsed = data if data == '[DONE]' else json.loads(data)
            event_id = fields.get('id', '')
            yield StreamEvent(fields.get('event', ''), event_id, parsed)
            fields = {}
            continue
        name, _, value = line.partition(': ')
        fields[name] = value
