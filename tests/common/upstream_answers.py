"""The clients of an instance of the own interface, and their upstreams."""

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.transport import answer_memory
from greengagelb.transport import engine_client
from greengagelb.transport import service_client
from tests.common import wires

UPSTREAM = configuration.Upstream('e0', wires.ADDRESS, wires.PORT, 'kl-1')
ECHO = b'X-Client-Account: teratak\r\nX-Request-Id: k1\r\n'


class Side:
    """The clients of an instance, with one memory for all answers."""

    def __init__(self, most=answer_memory.MAX_HELD_BYTES):
        self.network = wires.Network()
        self.events = []
        self.memory = answer_memory.AnswerMemory(most)
        reactor = self.network.reactor
        self.engines = engine_client.EngineClient(
            reactor, self.events.append, self.memory
        )
        self.services = service_client.ServiceClient(
            reactor, self.events.append, self.memory
        )

    def probe(self):
        self.engines.probe_upstream(actions.ProbeUpstream(UPSTREAM))
        return self.network.accept()

    def cancel(self):
        self.engines.cancel_attempt(
            actions.CancelAttempt(attempt_of(1), UPSTREAM)
        )
        return self.network.accept()

    def stream(self, number=1):
        self.engines.start_attempt(
            actions.StartAttempt(
                attempt_of(number),
                UPSTREAM,
                'm',
                '1',
                '',
                'p',
                (),
                1,
                configuration.Priority.LONG,
                60.0,
            )
        )
        return self.network.accept()

    def call(self, number=1):
        request = requests.CallRequest(
            number,
            identity.RequestId('teratak', 'k1'),
            'charge',
            'book',
            b'{}',
            deadline=60.0,
            has_idempotency_key=True,
        )
        self.services.send_call(
            actions.DispatchCall(number, UPSTREAM, request)
        )
        return self.network.accept()


def assert_unanswered(event):
    """Check that no answer came; a run may have been begun."""
    match event:
        case events.CallBroken() | events.AttemptBroken():
            assert event.handed_over
        case _:
            assert isinstance(
                event, events.UpstreamUnreachable | events.CancelFailed
            )


def attempt_of(number):
    request = identity.RequestId('teratak', f'r{number}')
    return identity.AttemptId(request, 1, f'i.{number}')
