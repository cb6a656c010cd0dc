"""The callers' interface within this process, fed with raw bytes."""

import dataclasses
import json
from typing import Any

from twisted.internet import task
from twisted.internet import testing

from greengagelb.coordination import events
from greengagelb.protocol import codec
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams
from greengagelb.transport import caller_app
from greengagelb.transport import recorder
from greengagelb.transport import serving
from tests.common import fleet

SECRET = b'secret of the tests'


@dataclasses.dataclass
class RawAnswer:
    """Status, headers and body as bytes on the wire said them."""

    status: int
    headers: dict[str, str]
    body: bytes

    def problem(self) -> Any:
        """Return the problem document in the body."""
        assert self.headers['content-type'] == 'application/problem+json'
        return json.loads(self.body)


def sample_point(account: str) -> requests.ResumePoint:
    """Return where a stream of an account broke off before its first token."""
    return requests.ResumePoint(
        identity.RequestId(account, 'r'),
        1,
        'attempt',
        identity.EngineId('e', 'i'),
        0,
        streams.EMPTY_CHAIN,
        'm',
        '1',
        '',
        streams.EMPTY_CHAIN,
    )


class CallerSite:
    """Takes raw requests and keeps the events that they lead to."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.events: list[events.Event] = []
        self.seal = codec.CursorSeal(SECRET)
        self.recorder = recorder.Recorder('instance-0', 100)
        accounts = tuple(
            configuration.ClientAccount(name, fleet.digest(key), ('draft',))
            for name, key in [
                ('teratak', fleet.ACCOUNT_KEY),
                ('karri', fleet.OTHER_KEY),
                ('keyless', ''),
            ]
        )
        # A digest that is none must not keep the other accounts out.
        broken = configuration.ClientAccount('broken', 'n\xf6', ())
        accounts = (broken, *accounts)
        in_force = configuration.Configuration(version=1, accounts=accounts)
        self.app = caller_app.CallerApp(
            self.clock,
            self.events.append,
            lambda: in_force,
            self.seal,
            self.recorder,
        )
        self.site = serving.bounded_site(
            self.app.app.resource(), self.clock, self.app.budget
        )

    def connect(self) -> 'Connection':
        """Return a new connection to the site."""
        return Connection(self)


class Connection:
    """A caller's end of one connection."""

    def __init__(self, site: CallerSite) -> None:
        self.transport = testing.StringTransportWithDisconnection()
        self.protocol = site.site.buildProtocol(None)
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def send(self, raw: bytes) -> None:
        """Send bytes, as long as the connection is open."""
        if self.transport.connected:
            self.protocol.dataReceived(raw)

    def answer(self) -> RawAnswer | None:
        """Return the answer that has come so far, if there is one."""
        head, found, body = self.transport.value().partition(b'\r\n\r\n')
        if not found:
            return None
        first, *lines = head.decode().split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(': ')
            headers[name.lower()] = value
        return RawAnswer(int(first.split()[1]), headers, body)


def request(
    path: str = '/v1/chat/completions',
    body: Any = None,
    *lines: bytes,
    key: bytes = fleet.ACCOUNT_KEY.encode(),
    method: str = 'POST',
) -> bytes:
    """Return a request as bytes; ``body`` is bytes or becomes JSON."""
    if body is None:
        body = chat()
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = [
        f'{method} {path} HTTP/1.1'.encode(),
        b'Host: x',
        b'Content-Length: %d' % len(raw),
        *lines,
    ]
    if key:
        head.append(b'Authorization: Bearer ' + key)
    return b'\r\n'.join(head) + b'\r\n\r\n' + raw


def chat(**changes: Any) -> dict[str, Any]:
    """Return the body of a right request, with changes."""
    body = {
        'model': 'draft',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'max_tokens': 5,
    }
    return body | changes
