"""What log lines cost a relayed request, in processor time.

    .venv/bin/python -m measure.log_cost --rounds 50

One instance with its decisions, recorder and both sides of HTTP/1.1, without
sockets or store: requests and engines' answers are handed to its connections
as bytes, on a clock that this program moves, so slowly that no line is left
out for its rate. A call is one request with one answer; a stream has 50
events. The rounds of the three logs take turns in one process, since other
work on the machine changes all times: lines as they are, written to a pipe
that is read; lines formatted and then dropped; lines that the first processor
discards. Prints medians over the rounds, in microseconds a request, and which
part of it all lines take and their formatting alone, by the median difference
of neighbouring rounds.
"""

import argparse
import json
import statistics
import subprocess
import sys
import time
from typing import Any

import structlog
from twisted.internet import protocol
from twisted.internet import task

from greengagelb.transport import bounded_log
from greengagelb.transport import recorder
from tests.common import instance_world
from tests.common import relay_wires

AS_IT_IS = 'as it is'
UNWRITTEN = 'formatted, not written'
DISCARDED = 'discarded'
# Requests of a round.
COUNTS = {'call': 100, 'stream': 30}
# Requests before those that are measured, which open the connections.
WARM_UP = 100
STREAM_EVENTS = 50
# Between two requests; a stream has three lines, and 200 lines a second are
# written for long.
STEP_SECONDS = 0.02
LINE_WAIT_SECONDS = 0.01
ANSWER = 'HTTP/1.1 200 OK\r\nId: {}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok'
HEAD = 'HTTP/1.1 200 OK\r\nId: {}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n'
REQUEST = (
    'POST {} HTTP/1.1\r\nHost: x\r\nId: {}\r\nContent-Length: 2\r\n\r\nhi'
)
PATHS = {'call': '/queries/a', 'stream': '/drafts/a'}


def discard(*given: object) -> None:
    """Leave a line out, as a processor of ``structlog``."""
    raise structlog.DropEvent


class Nowhere:
    """A logger that drops lines once they are formatted."""

    def info(self, line: str) -> None:
        """Drop a line."""


def chunk(data: str) -> bytes:
    """Return data as a chunk of a body."""
    return f'{len(data):x}\r\n{data}\r\n'.encode()


class Site:
    """An instance, a caller on a kept connection, and all engines."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.world = instance_world.InstanceWorld()
        self.caller = self.world.connect()
        self.engines: list[protocol.Protocol] = []
        self.accepted = 0
        self.last = 0

    def serve(self, kind: str) -> None:
        """Have one request served."""
        self.last += 1
        name = f'r{self.last}'
        self.caller.dataReceived(REQUEST.format(PATHS[kind], name).encode())
        engine = self.asked_engine()
        if kind == 'call':
            engine.dataReceived(ANSWER.format(name).encode())
        else:
            self.stream(engine, name)
        self.check()
        if engine.transport.disconnecting:
            self.engines.remove(engine)
            relay_wires.close(engine)
        self.clock.advance(STEP_SECONDS)
        self.world.reactor.advance(STEP_SECONDS)

    def asked_engine(self) -> protocol.Protocol:
        """Return the connection on which a request waits, accepting it."""
        reactor = self.world.reactor
        while len(reactor.tcpClients) > self.accepted:
            factory = reactor.tcpClients[self.accepted][2]
            connection = factory.buildProtocol(None)
            connection.makeConnection(relay_wires.Wire())
            self.engines.append(connection)
            self.accepted += 1
        [engine] = [e for e in self.engines if e.transport.value()]
        engine.transport.clear()
        return engine

    def stream(self, engine: protocol.Protocol, name: str) -> None:
        """Answer with a stream, each event by itself."""
        engine.dataReceived(HEAD.format(name).encode() + b'\r\n')
        for number in range(1, STREAM_EVENTS + 1):
            engine.dataReceived(chunk(f'id: {number}\ndata: a word\n\n'))
        engine.dataReceived(b'0\r\n\r\n')

    def check(self) -> None:
        """Raise unless the caller has a whole answer."""
        answer = self.caller.transport.value()
        whole = answer.endswith((b'\r\n\r\nok', b'0\r\n\r\n'))
        if not answer.startswith(b'HTTP/1.1 200') or not whole:
            raise RuntimeError(answer)
        self.caller.transport.clear()


def loggers(lines: bounded_log.BoundedLog) -> dict[str, Any]:
    """Return a logger for each way to treat lines."""
    recorder.configure_logging(lines)
    as_it_is = structlog.get_config()['processors']
    return {
        AS_IT_IS: structlog.get_logger(),
        UNWRITTEN: structlog.wrap_logger(
            Nowhere(), processors=as_it_is, cache_logger_on_first_use=True
        ),
        DISCARDED: structlog.wrap_logger(
            Nowhere(), processors=[discard], cache_logger_on_first_use=True
        ),
    }


def measure_here(kind: str, rounds: int) -> dict[str, Any]:
    """Return microseconds a request of each round, by log."""
    clock = task.Clock()
    lines = bounded_log.BoundedLog(sys.stdout.fileno(), clock.seconds)
    logs = loggers(lines)
    site = Site(clock)
    for _ in range(WARM_UP):
        site.serve(kind)
    found: dict[str, list[float]] = {name: [] for name in logs}
    for _ in range(rounds):
        for name, log in logs.items():
            recorder.log = log
            before = time.process_time()
            for _ in range(COUNTS[kind]):
                site.serve(kind)
            used = time.process_time() - before
            found[name].append(1e6 * used / COUNTS[kind])
    while lines.pending:
        time.sleep(LINE_WAIT_SECONDS)
        lines.flush()
    return {'times': found, 'left out': lines.total_dropped}


def excess(times: list[float], without: list[float]) -> float:
    """Return the median difference of rounds that were neighbours."""
    pairs = zip(times, without, strict=True)
    return statistics.median(more - less for more, less in pairs)


def measure_in_child(kind: str, rounds: int) -> dict[str, Any]:
    """Return a summary of the rounds in a process whose log is read here."""
    words = ['-m', 'measure.log_cost', '--kind', kind, '--rounds', str(rounds)]
    done = subprocess.run(
        [sys.executable, *words], capture_output=True, text=True, check=True
    )
    found = json.loads(done.stderr)
    times = found['times']
    whole = statistics.median(times[AS_IT_IS])
    without = times[DISCARDED]
    return {
        **{name: round(statistics.median(t), 1) for name, t in times.items()},
        'share of lines': round(excess(times[AS_IT_IS], without) / whole, 3),
        'share of formatting': round(
            excess(times[UNWRITTEN], without) / whole, 3
        ),
        'lines': done.stdout.count('\n'),
        'left out': found['left out'],
    }


def main() -> None:
    """Measure and print; with ``--kind``, that kind in this process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=50)
    parser.add_argument('--kind', choices=COUNTS)
    arguments = parser.parse_args()
    if arguments.kind:
        found = measure_here(arguments.kind, arguments.rounds)
        sys.stderr.write(json.dumps(found))
        return
    for kind in COUNTS:
        print(kind, json.dumps(measure_in_child(kind, arguments.rounds)))


if __name__ == '__main__':
    main()
