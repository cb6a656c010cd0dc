"""Messages between instances, one zmq frame each: a tag, then msgpack.

The tag is a keyed digest under the secret that all instances share. Without
it, anyone who reaches the peer port could put a configuration in force.

============================ ==============================================
:class:`HeartbeatMessage`    identity, applied version, loads, notices
:class:`ConfigurationQuery`  asks for the configuration applied there
:class:`ConfigurationCopy`   the configuration, as compressed JSON
:class:`Introduction`        addresses of other instances
:class:`LimitMessage`        limits of engines, and permits
============================ ==============================================

Messages are arrays without attribute names rather than maps, to keep them
small: a heartbeat goes to each instance of the data centre every few seconds.
"""

import hashlib
import hmac

import msgspec

from greengagelb import errors
from greengagelb.protocol import limit_messages
from greengagelb.state import crashes
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import timeline

TAG_BYTES = 16
STEP_UNITS_PER_SECOND = 10_000
MAX_MESSAGE_BYTES = 4 << 20
KEY_PURPOSE = b'greengagelb peers'


class LeavingUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that is leaving."""

    name: str
    incarnation: str


class DataCentreSummary(msgspec.Struct, frozen=True, array_like=True):
    """See :class:`greengagelb.state.fleet.DataCentreSummary`."""

    data_centre: str
    version: int
    in_force_on: int
    instances: int
    missing: list[str]


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of an upstream; the step is in units of 0.1 ms."""

    index: int
    running: int
    queued: int
    step: int


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """See :class:`greengagelb.state.crashes.ReportedCrash`."""

    life: str
    seconds: float
    age: float
    data_centre: str = ''
    has_begun: bool = True


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """See :class:`greengagelb.state.crashes.CrashReport`."""

    fingerprint: str
    crashes: list[ReportedCrash]
    survived_age: float | None


class HeartbeatMessage(msgspec.Struct, frozen=True, array_like=True, tag='h'):
    """See :class:`greengagelb.state.fleet.Heartbeat`."""

    name: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    version: int
    leaving: bool
    milliseconds: int
    count: int
    notices: list[LeavingUpstream] = []
    summaries: list[DataCentreSummary] = []
    loads: list[UpstreamLoad] = []
    held: list[str] = []
    crash_reports: list[CrashReport] = []


class ConfigurationQuery(
    msgspec.Struct, frozen=True, array_like=True, tag='q'
):
    """Asks for the configuration; the answer is sent to this address."""

    host: str
    port: int


class ConfigurationCopy(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """A configuration as compressed JSON, and the name of its sender."""

    name: str
    document: bytes


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag='i'):
    """Addresses of instances of the sender's data centre."""

    addresses: list[tuple[str, int]]


class LimitMessage(msgspec.Struct, frozen=True, array_like=True, tag='l'):
    """A message about limits; see :mod:`.limit_messages`."""

    incarnation: str
    message: limit_messages.WireMessage


Message = (
    HeartbeatMessage
    | ConfigurationQuery
    | ConfigurationCopy
    | Introduction
    | LimitMessage
)


class PeerCodec:
    """Signs messages with the secret of the fleet and verifies them."""

    def __init__(self, secret: str) -> None:
        self.key = hmac.digest(secret.encode(), KEY_PURPOSE, hashlib.sha256)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def seal_message(self, message: Message) -> bytes:
        """Return the signed frame of a message."""
        payload = self.encoder.encode(message)
        return self.compute_tag(payload) + payload

    def open_frame(self, frame: bytes) -> Message:
        """Return the message in a frame that an instance of the fleet signed.

        Raises :class:`~greengagelb.errors.ProtocolError`.
        """
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if not hmac.compare_digest(tag, self.compute_tag(payload)):
            raise errors.ProtocolError('message was not signed by this fleet')
        try:
            return self.decoder.decode(payload)
        except msgspec.DecodeError as exc:
            raise errors.ProtocolError(
                'message format of another release'
            ) from exc

    def compute_tag(self, payload: bytes) -> bytes:
        """Return the keyed digest of a payload."""
        return hmac.digest(self.key, payload, hashlib.sha256)[:TAG_BYTES]


def to_message(heartbeat: fleet.Heartbeat) -> HeartbeatMessage:
    """Return the message for a heartbeat."""
    sender = heartbeat.sender
    return HeartbeatMessage(
        name=sender.name,
        incarnation=sender.incarnation,
        data_centre=sender.data_centre,
        host=sender.address.host,
        port=sender.address.port,
        version=heartbeat.version,
        leaving=heartbeat.leaving,
        milliseconds=heartbeat.stamp.milliseconds,
        count=heartbeat.stamp.count,
        notices=[
            LeavingUpstream(engine.name, engine.incarnation)
            for engine in heartbeat.leaving_upstreams
        ],
        summaries=[
            DataCentreSummary(
                one.data_centre,
                one.version,
                one.in_force_on,
                one.instances,
                list(one.missing),
            )
            for one in heartbeat.summaries
        ],
        loads=[
            UpstreamLoad(
                one.index,
                one.running,
                one.queued,
                round(one.step_seconds * STEP_UNITS_PER_SECOND),
            )
            for one in heartbeat.loads
        ],
        held=sorted(heartbeat.held),
        crash_reports=[
            CrashReport(
                report.fingerprint,
                [
                    ReportedCrash(
                        c.life, c.seconds, c.age, c.data_centre, c.has_begun
                    )
                    for c in report.crashes
                ],
                report.survived_age,
            )
            for report in heartbeat.crash_reports
        ],
    )


def to_heartbeat(message: HeartbeatMessage) -> fleet.Heartbeat:
    """Return the heartbeat in a message."""
    return fleet.Heartbeat(
        sender=fleet.PeerId(
            message.name,
            message.incarnation,
            message.data_centre,
            fleet.PeerAddress(message.host, message.port),
        ),
        version=message.version,
        leaving=message.leaving,
        stamp=timeline.Stamp(message.milliseconds, message.count),
        leaving_upstreams=tuple(
            identity.EngineId(notice.name, notice.incarnation)
            for notice in message.notices
        ),
        summaries=tuple(
            fleet.DataCentreSummary(
                one.data_centre,
                one.version,
                one.in_force_on,
                one.instances,
                tuple(one.missing),
            )
            for one in message.summaries
        ),
        loads=tuple(
            fleet.UpstreamLoad(
                one.index,
                one.running,
                one.queued,
                one.step / STEP_UNITS_PER_SECOND,
            )
            for one in message.loads
        ),
        held=frozenset(message.held),
        crash_reports=tuple(
            crashes.CrashReport(
                one.fingerprint,
                tuple(
                    crashes.ReportedCrash(
                        c.life, c.seconds, c.age, c.data_centre, c.has_begun
                    )
                    for c in one.crashes
                ),
                one.survived_age,
            )
            for one in message.crash_reports
        ),
    )
