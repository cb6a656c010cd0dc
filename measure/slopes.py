"""Slopes of processor time and memory, each measured at several sizes.

    .venv/bin/python -m measure.slopes --output docs/measurements/slopes.json

Relay and request figures come from a real instance on loopback; those of
configuration, directory and admission from the decision objects alone. Each
slope is the least-squares line through its sizes.
"""

import argparse
from collections.abc import Callable
import dataclasses
import hashlib
import json
import pathlib
import random
import socket
import statistics
import tempfile
import time
import tracemalloc
from typing import Any
import zlib

from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.coordination.fleet import membership
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import peer_api
from greengagelb.protocol import platform_api
from greengagelb.state import configuration as configuration_state
from greengagelb.state import fleet as fleet_state
from greengagelb.state import plans as plan_state
from greengagelb.state import timeline
from measure import recovery
from tests.common import callers
from tests.common import fleet

TOKENS = 400
STREAM_COUNTS = (8, 16, 32)
CALL_COUNTS = (100, 200, 400)
ACCOUNT_COUNTS = (110, 550, 1100)
ENGINE_COUNTS = (63, 315, 630)
PROBE_COUNTS = (4, 16, 32)
PEER_COUNTS = (16, 33, 66)
LOAD_COUNTS = (1, 4, 8)
HEARTBEAT_SECONDS = 4.0
POLL_SECONDS = (0.05, 0.1, 0.4)
IDLE_SECONDS = 8.0
REPEATS = 20


@dataclasses.dataclass
class Line:
    """A measured line: ``at_zero + slope * size``."""

    unit: str
    slope: float
    at_zero: float
    points: list[tuple[float, float]]


def fit(unit: str, points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through some points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, at_zero = statistics.linear_regression(sizes, values)
    return Line(unit, slope, at_zero, points)


def measure_relay(streams: int, engines: int = 4) -> tuple[float, float]:
    """Return processor seconds and peak bytes for relaying some streams."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.Fleet(pathlib.Path(folder)) as running,
    ):
        for number in range(engines):
            running.start_engine(f'engine-{number}')
        running.start_service('plain-0')
        running.start_instance('router-0')
        running.configure(running.configuration())
        instance = running.instances['router-0']
        warm = callers.StreamCaller('warm', 20)
        warm.read_all(instance.port)
        before = recovery.processor_seconds(instance)
        threads = [
            recovery.TimedCaller(
                instance.port, callers.StreamCaller(f'p{number}', TOKENS)
            )
            for number in range(streams)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        held = recovery.resident_bytes(instance)
        for thread in threads:
            thread.join()
        return recovery.processor_seconds(instance) - before, held


def measure_calls(calls: int) -> float:
    """Return the processor seconds for some claimed calls, one by one."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.small_fleet(pathlib.Path(folder), 1, 1) as running,
    ):
        instance = running.instances['router-0']
        before = recovery.processor_seconds(instance)
        for number in range(calls):
            headers = fleet.bearer(fleet.ACCOUNT_KEY)
            headers |= {'Idempotency-Key': f'k{number}'}
            path = '/v1/services/charge/book'
            fleet.ask(instance.port, path, {}, headers=headers)
        return recovery.processor_seconds(instance) - before


def measure_generations(count: int) -> float:
    """Return the processor seconds for some generations of one token."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.small_fleet(pathlib.Path(folder), 2, 1) as running,
    ):
        instance = running.instances['router-0']
        before = recovery.processor_seconds(instance)
        for number in range(count):
            callers.StreamCaller(f'p{number}', 1).read_all(instance.port)
        return recovery.processor_seconds(instance) - before


def measure_probes(upstreams: int) -> float:
    """Return the processor seconds a second of an idle instance."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.small_fleet(pathlib.Path(folder), upstreams, 1) as running,
    ):
        time.sleep(1.5)
        instance = running.instances['router-0']
        before = recovery.processor_seconds(instance)
        time.sleep(IDLE_SECONDS)
        used = recovery.processor_seconds(instance) - before
        return used / IDLE_SECONDS


def sample_configuration(
    accounts: int, engines: int
) -> configuration_state.Configuration:
    """Return a configuration of a size."""
    upstreams = tuple(
        configuration_state.Upstream(
            f'engine-{number}', '10.0.0.1', 8000 + number, f'dc-{number % 5}'
        )
        for number in range(engines)
    )
    return configuration_state.Configuration(
        version=1,
        accounts=tuple(
            configuration_state.ClientAccount(
                f'account-{number}',
                hashlib.sha256(str(number).encode()).hexdigest(),
                ('draft',),
            )
            for number in range(accounts)
        ),
        services=(
            configuration_state.Service(
                'draft', configuration_state.ServiceKind.GENERATION, 'drafting'
            ),
        ),
        pools=(configuration_state.Pool('drafting', upstreams, 'm', '1'),),
    )


def apply_configuration(raw: bytes) -> node.Node:
    """Decode and apply a configuration as an instance does."""
    decoded = codec.decode(raw, configuration_state.Configuration)
    found = node.Node('i', random.Random(1))
    found.handle(events.ConfigurationOffered(decoded, 'measure'), 0.0)
    return found


def processor_time_of(function: Callable[[], Any]) -> float:
    """Return the least processor seconds of some runs of a function."""
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        function()
        times.append(time.process_time() - begun)
    return min(times)


def bytes_of(function: Callable[[], Any]) -> int:
    """Return the bytes that the result of a function holds."""
    tracemalloc.start()
    held = function()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size


def configuration_lines() -> dict[str, Line]:
    """Return the lines over accounts and over engines."""
    lines = {}
    for name, sizes in (
        ('account', ACCOUNT_COUNTS),
        ('engine', ENGINE_COUNTS),
    ):
        raws = {
            size: codec.encode(
                sample_configuration(
                    size if name == 'account' else 1,
                    size if name == 'engine' else 1,
                )
            )
            for size in sizes
        }
        lines[f'configuration_document_per_{name}'] = fit(
            'bytes', [(size, len(raw)) for size, raw in raws.items()]
        )
        lines[f'configuration_sent_per_{name}'] = fit(
            'bytes',
            [(size, len(zlib.compress(raw))) for size, raw in raws.items()],
        )
        lines[f'configuration_apply_per_{name}'] = fit(
            'processor seconds',
            [
                (size, processor_time_of(lambda r=raw: apply_configuration(r)))
                for size, raw in raws.items()
            ],
        )
        lines[f'configuration_memory_per_{name}'] = fit(
            'bytes',
            [
                (size, bytes_of(lambda r=raw: apply_configuration(r)))
                for size, raw in raws.items()
            ],
        )
    return lines


def sample_heartbeat(number: int) -> fleet_state.Heartbeat:
    """Return the heartbeat of an instance of a number."""
    address = fleet_state.PeerAddress('10.0.0.1', 7000 + number)
    peer = fleet_state.PeerId(
        f'instance-{number}', f'{number:012x}', 'kl-1', address
    )
    return fleet_state.Heartbeat(peer, 1, False, timeline.Stamp(10**12, 0))


def peers_heard(peers: int) -> membership.Membership:
    """Return a membership that has heard of some peers."""
    me = sample_heartbeat(0).sender
    found = membership.Membership(me, (), HEARTBEAT_SECONDS)
    for number in range(1, peers + 1):
        found.handle_heartbeat(sample_heartbeat(number), 0.0)
    return found


def heartbeat_round(
    found: membership.Membership, peers: int, codec: peer_api.PeerCodec
) -> None:
    """Hear all peers once and send one heartbeat to each."""
    for number in range(1, peers + 1):
        frame = codec.seal_message(
            peer_api.to_message(sample_heartbeat(number))
        )
        found.handle_heartbeat(
            peer_api.to_heartbeat(codec.open_frame(frame)), 1.0
        )
    for action in found.tick(1.0):
        if isinstance(action, membership.SendHeartbeat):
            codec.seal_message(peer_api.to_message(action.heartbeat))


def peer_lines() -> dict[str, Line]:
    """Return the lines over the other instances of a data centre."""
    codec = peer_api.PeerCodec('secret of the measurement')
    rounds = []
    memory = []
    for peers in PEER_COUNTS:
        found = peers_heard(peers)
        seconds = processor_time_of(
            lambda f=found, n=peers: heartbeat_round(f, n, codec)
        )
        rounds.append((float(peers), seconds))
        held = bytes_of(lambda n=peers: peers_heard(n))
        memory.append((float(peers), float(held)))
    frame = codec.seal_message(peer_api.to_message(sample_heartbeat(1)))
    return {
        'heartbeat_round_per_peer': fit('processor seconds', rounds),
        'memory_per_peer': fit('bytes', memory),
        'heartbeat_bytes': Line('bytes', float(len(frame)), 0.0, []),
        'heartbeat_bytes_per_load': fit(
            'bytes',
            [(float(n), heartbeat_length(codec, n)) for n in LOAD_COUNTS],
        ),
    }


def heartbeat_length(codec: peer_api.PeerCodec, loads: int) -> float:
    """Return the bytes of a heartbeat with some loads."""
    told = tuple(
        fleet_state.UpstreamLoad(600 + number, 64, 12, 0.0042)
        for number in range(loads)
    )
    heartbeat = dataclasses.replace(sample_heartbeat(1), loads=told)
    return float(len(codec.seal_message(peer_api.to_message(heartbeat))))


def relay_lines() -> dict[str, Line]:
    """Return the lines of a real instance over tokens and streams."""
    measured = {count: measure_relay(count) for count in STREAM_COUNTS}
    return {
        'relay_per_token': fit(
            'processor seconds',
            [(n * TOKENS, seconds) for n, (seconds, _) in measured.items()],
        ),
        'memory_per_stream': fit(
            'bytes', [(n, held) for n, (_, held) in measured.items()]
        ),
    }


def call_lines() -> dict[str, Line]:
    """Return the line of a real instance over claimed calls."""
    points = [(float(n), measure_calls(n)) for n in CALL_COUNTS]
    return {'claimed_call': fit('processor seconds', points)}


def generation_lines() -> dict[str, Line]:
    """Return the line of a real instance over generations of one token."""
    points = [(float(n), measure_generations(n)) for n in CALL_COUNTS]
    return {'generation_start': fit('processor seconds', points)}


def probe_lines() -> dict[str, Line]:
    """Return the line of an idle instance over watched upstreams."""
    points = [(float(n), measure_probes(n)) for n in PROBE_COUNTS]
    return {
        'probe': fit('processor seconds', points),
        'probe_bytes': Line('bytes', float(probe_exchange_bytes()), 0.0, []),
    }


def probe_exchange_bytes() -> int:
    """Return the bytes of one probe, its question and its answer."""
    report = sample_report()
    with (
        socket.create_server((fleet.HOST, 0)) as listener,
        tempfile.TemporaryDirectory() as folder,
        fleet.Fleet(pathlib.Path(folder)) as running,
    ):
        running.start_engine('engine-0')
        running.start_service('plain-0')
        running.start_instance('router-0')
        configuration = running.configuration()
        upstream = configuration['pools'][0]['upstreams'][0]
        upstream['port'] = listener.getsockname()[1]
        running.configure(configuration)
        return exchange_bytes(listener, report)


def poll_exchange_bytes() -> int:
    """Return the bytes of one look at the platform's confirmation."""
    confirmation = plan_state.Confirmation(
        123_456, '0' * 16, ('give engine-600 no new work',)
    )
    value = codec.encode(confirmation).decode()
    row = codec.encode(platform_api.Row('current', 123_456, value))
    with (
        socket.create_server((fleet.HOST, 0)) as listener,
        tempfile.TemporaryDirectory() as folder,
        fleet.Fleet(pathlib.Path(folder)) as running,
    ):
        port = listener.getsockname()[1]
        running.start_instance('router-0', platform_port=port)
        return exchange_bytes(listener, row)


def exchange_bytes(listener: socket.socket, answer: bytes) -> int:
    """Return the bytes of the first question to come and of an answer."""
    connection, _ = listener.accept()
    with connection:
        question = connection.recv(65536)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 000\r\n'
    head += b'Content-Type: application/json\r\nDate: ' + 29 * b'x'
    head += b'\r\nServer: TwistedWeb/00.00.0\r\n\r\n'
    return len(question) + len(head) + len(answer)


def sample_report() -> bytes:
    """Return an engine's report as it is sent."""
    return codec.encode(
        engine_api.EngineReport(
            'engine-600',
            '0' * 12,
            'm',
            '1',
            '',
            64,
            12,
            0.004,
            10**9,
            10**9,
            False,
        )
    )


def poll_lines() -> dict[str, Line]:
    """Return the line of an idle instance over its polls of the platform."""
    points = []
    for seconds in POLL_SECONDS:
        with (
            tempfile.TemporaryDirectory() as folder,
            fleet.Fleet(pathlib.Path(folder)) as running,
        ):
            running.poll_seconds = seconds
            running.start_engine('engine-0')
            running.start_service('plain-0')
            running.start_instance('router-0')
            running.configure(running.configuration())
            instance = running.instances['router-0']
            before = recovery.processor_seconds(instance)
            time.sleep(IDLE_SECONDS)
            used = recovery.processor_seconds(instance) - before
            points.append((IDLE_SECONDS / seconds, used))
    return {
        'poll': fit('processor seconds', points),
        'poll_bytes': Line('bytes', float(poll_exchange_bytes()), 0.0, []),
    }


PARTS = {
    'peers': peer_lines,
    'configuration': configuration_lines,
    'relay': relay_lines,
    'calls': call_lines,
    'generations': generation_lines,
    'probes': probe_lines,
    'polls': poll_lines,
}


def main() -> None:
    """Measure the parts that were asked for and write them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--parts', default=','.join(PARTS))
    parser.add_argument('--output', type=pathlib.Path)
    arguments = parser.parse_args()
    lines: dict[str, Line] = {}
    for part in arguments.parts.split(','):
        lines |= PARTS[part]()
    found = {name: dataclasses.asdict(line) for name, line in lines.items()}
    if arguments.output and arguments.output.exists():
        found = json.loads(arguments.output.read_text()) | found
    text = json.dumps(found, indent=2, sort_keys=True)
    print(text)
    if arguments.output:
        arguments.output.write_text(text + '\n')


if __name__ == '__main__':
    main()
