"""The engine side of an instance, its engines and its decisions."""

import dataclasses

from greengagelb.transport import answer_memory
from tests.common import relay_wires
from tests.common import relay_world


class Side:
    """The engine side of an instance, its engines and its decisions."""

    def __init__(self, most=answer_memory.MAX_HELD_BYTES):
        self.server = relay_wires.Server()
        self.world = relay_world.RelayWorld()
        self.events = []
        self.side = relay_wires.engine_side_of(self.server.pool, self.events)
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
