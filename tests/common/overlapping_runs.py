"""Streams whose runs may overlap: engines that read, pause and are probed."""

import dataclasses

from twisted.internet import protocol

from greengagelb.transport.relay import http1
from tests.common import linked_fleet
from tests.common import simulated_network

STREAMS = (b'/drafts/1',)
EVENTS = 60
EVENT_SECONDS = 0.05
READING_SECONDS = 1.0
# The longest time for which engines in reach may work on one stream.
MAX_OVERLAP_SECONDS = 0.4
# Harm to a path excuses runs that begin up to this time after it.
REACH_SECONDS = 0.4


@dataclasses.dataclass(slots=True)
class Run:
    """The work of an engine on a stream, and who holds its connection."""

    engine: str
    host: str
    source: str
    began_at: float
    ended_at: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Harm:
    """A path that lets something through only after its end."""

    hosts: frozenset[str]
    began_at: float
    ended_at: float


class Connection(linked_fleet.EngineConnection):
    """A connection on which an engine reads a prompt before it writes."""

    def __init__(self, engine):
        super().__init__(engine)
        self.run = None

    def handle_request(self):
        fields = tuple(self.head.headers.raw_items())
        name = http1.first_header_value(fields, b'id')
        if name is None:
            self.answer_probe()
            return
        if self.head.target.startswith(STREAMS):
            now = self.engine.network.now
            host = self.engine.entry.address.host
            self.run = Run(self.engine.entry.engine, host, self.source, now)
            runs = self.engine.runs.setdefault(name.decode(), [])
            runs.append(self.run)
        super().handle_request()

    def answer_probe(self):
        """Answer after the engine's time for that, which may be endless."""
        if self.engine.probe_seconds < float('inf'):
            self.later(self.engine.probe_seconds, self.answer, [], b'')

    def send_event(self, number):
        now = self.engine.network.now
        reads_until = self.run.began_at + READING_SECONDS
        due_at = max(reads_until, self.engine.silent_until)
        if now < due_at:
            self.later(due_at - now, self.send_event, number)
            return
        raw = f'id: {number}\ndata: {number}\n\n'.encode()
        self.transport.write(self.http.send(linked_fleet.h11.Data(data=raw)))
        if number < EVENTS:
            self.later(EVENT_SECONDS, self.send_event, number + 1)
        else:
            self.end()

    def end(self):
        self.note_end()
        super().end()

    def connectionLost(self, reason=protocol.connectionDone):
        self.note_end()
        super().connectionLost(reason)

    def note_end(self):
        if self.run is not None:
            self.run.ended_at = min(self.run.ended_at, self.engine.network.now)


class Engine(linked_fleet.Engine):
    """An engine that may write nothing for a while.

    ``probe_seconds`` is how long it takes to answer probes, and ``runs`` has
    the runs of all engines by the id of their request.
    """

    def __init__(self, network, entry):
        super().__init__(network, entry)
        self.silent_until = float('-inf')
        self.probe_seconds = 0.0
        self.runs = {}

    def buildProtocol(self, addr):
        return Connection(self)


class Fleet(linked_fleet.LinkedFleet):
    """Instances and engines with the runs and the harm that they have seen."""

    engine_class = Engine

    def __init__(self, **fields):
        super().__init__(**fields)
        self.runs = {}
        self.harms = []
        for engine in self.engines.values():
            engine.runs = self.runs

    def streaming_engines(self):
        """Return the engines that serve the streams."""
        return [
            engine
            for engine in self.engines.values()
            if engine.entry.service == linked_fleet.relay_world.STREAMS
        ]

    def host_of(self, number):
        """Return the host of an instance."""
        return self.instances[number].own.host

    def harm_path(self, first, second, mode, seconds=float('inf')):
        """Cut the path between two hosts for some time, or for good."""
        if first == second:
            return
        now = self.network.now
        self.harms.append(Harm(frozenset((first, second)), now, now + seconds))
        self.network.cut(first, second, mode)
        if seconds < float('inf'):
            self.network.call_later(seconds, self.heal_path, first, second)

    def heal_path(self, first, second):
        """Heal a path unless it has been cut for longer since."""
        hosts = frozenset((first, second))
        until = max(h.ended_at for h in self.harms if h.hosts == hosts)
        if self.network.now >= until:
            self.network.heal(first, second)

    def lose_direct_paths(self):
        """Have instance 0 reach the streams' engines through others only."""
        for engine in self.streaming_engines():
            self.network.cut(
                self.host_of(0),
                engine.entry.address.host,
                simulated_network.Cut.REFUSED,
            )
        linked_fleet.LinkedFleet.ask_for(self, 1.0, [0], STREAMS)
        self.network.advance(6.0)

    def start_streams(self, count=4):
        """Return streams at instance 0 that have got their first events."""
        asked = [self.ask(0, STREAMS[0]) for _ in range(count)]
        self.network.advance(READING_SECONDS + 0.4)
        return asked

    def runs_of(self, asked):
        """Return the runs of a stream, the oldest first."""
        return self.runs.get(asked.name, [])

    def overlaps(self, asked):
        """Return the seconds of each overlap that is too long.

        Only those count in which the instance that holds the connection of
        the older run has reached its engine all the while.
        """
        runs = self.runs_of(asked)
        found = []
        for place, later in enumerate(runs):
            for run in runs[:place]:
                end = min(run.ended_at, later.ended_at, self.network.now)
                seconds = end - later.began_at
                if seconds > MAX_OVERLAP_SECONDS and self.is_reached(
                    run, later.began_at, end
                ):
                    found.append(seconds)
        return found

    def is_reached(self, run, begin, end):
        """Return whether a run's engine was in reach of its instance."""
        path = {run.source, run.host}
        return not any(
            harm.hosts == path
            and harm.began_at < end
            and begin - REACH_SECONDS < harm.ended_at
            for harm in self.harms
        )


def is_whole(asked):
    """Return whether a stream came complete and in order."""
    return asked.is_served and asked.events == list(range(1, EVENTS + 1))
