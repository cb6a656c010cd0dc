"""Size and cost of what instances tell each other, at the design size.

Run: .venv/bin/python measure/control_traffic.py
"""

import random
import time

from greengagelb.coordination.fleet import membership
from greengagelb.protocol import codec
from greengagelb.protocol import peer_api
from greengagelb.state import configuration
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import timeline

INSTANCES = 66
UPSTREAMS = 630
ACCOUNTS = 1_100
CHANGES_A_DAY = 1_300
DAY_SECONDS = 86_400
INTERVAL = 5.0
FRAMING_BYTES = 9
TCP_BYTES = 52
PING_BYTES = 172
PING_SECONDS = 30.0
ROUNDS = 200


def peer(number: int) -> fleet.PeerId:
    """Return an instance with names of ordinary length."""
    return fleet.PeerId(
        f'entry-{number:03}',
        f'{number:012x}',
        'kuala-lumpur-1',
        fleet.PeerAddress('10.20.30.40', 20_000 + number),
    )


def full_configuration() -> configuration.Configuration:
    """Return a configuration of the design size."""
    rng = random.Random(1)
    upstreams = [
        configuration.Upstream(
            f'engine-{n:03}', f'10.1.{n // 250}.{n % 250}', 8000, f'dc-{n % 5}'
        )
        for n in range(UPSTREAMS)
    ]
    return configuration.Configuration(
        version=100_000,
        accounts=tuple(
            configuration.ClientAccount(
                f'account-{n:04}', f'{rng.getrandbits(256):064x}', ('draft',)
            )
            for n in range(ACCOUNTS)
        ),
        pools=(configuration.Pool('drafting', tuple(upstreams), 'm', '1'),),
    )


def report(what: str, amount: float, unit: str) -> None:
    """Print one figure."""
    print(f'{what:56} {amount:10.1f} {unit}')


def main() -> None:
    """Print all figures."""
    peer_codec = peer_api.PeerCodec('the-secret-of-the-fleet')
    stamp = timeline.Stamp(int(time.time() * 1000), 3)
    plain = fleet.Heartbeat(peer(1), 100_000, False, stamp)
    size = len(peer_codec.seal_message(peer_api.to_message(plain)))
    notices = tuple(
        identity.EngineId(f'engine-{n:03}', f'{n:012x}') for n in range(8)
    )
    noticed = fleet.Heartbeat(peer(1), 100_000, False, stamp, notices)
    noticed_size = len(peer_codec.seal_message(peer_api.to_message(noticed)))
    report('heartbeat', size, 'bytes')
    report('heartbeat with 8 leaving upstreams', noticed_size, 'bytes')
    others = INSTANCES - 1
    payload = others * (size + FRAMING_BYTES) / INTERVAL
    report('heartbeats sent by a node', payload, 'bytes/s')
    headers = others * TCP_BYTES * 2 / INTERVAL
    report('TCP/IP headers and acknowledgements of these', headers, 'bytes/s')
    document = codec.compress(full_configuration())
    report('configuration, compressed', len(document), 'bytes')
    per_day = len(document) * CHANGES_A_DAY / DAY_SECONDS
    report('configuration copies, mean', per_day, 'bytes/s')
    pushes = others * (size + FRAMING_BYTES) * CHANGES_A_DAY / DAY_SECONDS
    report('heartbeats at changes, mean', pushes, 'bytes/s')
    pings = 2 * others * PING_BYTES / PING_SECONDS
    report('zmq heartbeats with TCP/IP headers', pings, 'bytes/s')
    measure_time(peer_codec, plain)


def measure_time(
    peer_codec: peer_api.PeerCodec, plain: fleet.Heartbeat
) -> None:
    """Print the processor time that one heartbeat takes at both ends."""
    member = membership.Membership(peer(0), (), INTERVAL)
    frames = []
    for number in range(1, INSTANCES):
        heartbeat = fleet.Heartbeat(peer(number), 1, False, plain.stamp)
        frames.append(peer_codec.seal_message(peer_api.to_message(heartbeat)))
    begun = time.process_time()
    for turn in range(ROUNDS):
        now = turn * INTERVAL
        for frame in frames:
            member.handle_heartbeat(
                peer_api.to_heartbeat(peer_codec.open_frame(frame)), now
            )
    taken = (time.process_time() - begun) / ROUNDS / len(frames)
    report('one heartbeat taken in', taken * 1e6, 'us')
    begun = time.process_time()
    for turn in range(ROUNDS):
        for action in member.tick(ROUNDS * INTERVAL + turn):
            if isinstance(action, membership.SendHeartbeat):
                peer_codec.seal_message(peer_api.to_message(action.heartbeat))
    sent = (time.process_time() - begun) / ROUNDS
    report('one round of heartbeats made', sent * 1e6, 'us')
    share = (taken * len(frames) + sent) / INTERVAL
    report('of a core, without zmq', share * 100, '%')


if __name__ == '__main__':
    main()
