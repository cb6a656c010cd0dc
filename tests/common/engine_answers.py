"""The engine side of an instance, and the forms of what engines answer."""

import dataclasses

from greengagelb.transport import answer_memory
from greengagelb.transport.relay import engine_side
from tests.common import relay_wires
from tests.common import relay_world

# The fields of a head that say how its body ends.
FRAMING = {
    'length': lambda body: [b'Content-Length: %d' % len(body)],
    'chunks': lambda body: [b'Transfer-Encoding: chunked'],
    'announced': lambda body: [b'Connection: close'],
    'http-1.0': lambda body: [],
}


class Side:
    """The engine side of an instance, its engines and its decisions."""

    def __init__(self, most=answer_memory.MAX_HELD_BYTES):
        self.server = relay_wires.Server()
        self.world = relay_world.RelayWorld()
        self.events = []
        pool = self.server.pool
        self.side = engine_side.EngineSide(
            pool,
            relay_wires.Dialect(),
            self.events.append,
            lambda entry: True,
            relay_wires.direct_opener(pool),
        )
        self.side.memory = answer_memory.AnswerMemory(most)

    def send(self, ask):
        """Send a request of a kind; return it and its connection."""
        send = self.world.last_send(relay_world.ASK[ask](self.world))
        request = dataclasses.replace(
            send.request, headers=((b'Host', b'engine'),)
        )
        send = dataclasses.replace(send, request=request, fresh=True)
        self.side.send_request(send)
        self.server.accept()
        return send, self.server.connections[-1]
