"""Encoding of hints between instances as datagrams.

Datagrams are used rather than ``zmq`` because late hints are useless, so
nothing has to be queued or resent, and because an instance needs one socket
for hundreds of others instead of a connection to each.
"""

import dataclasses
from typing import Annotated

import msgspec

from greengagelb import errors
from greengagelb.protocol import limit_messages
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

# Below what a datagram can carry without being split on the way.
MAX_BATCH_BYTES = 1_200

Fingerprint = Annotated[str, msgspec.Meta(max_length=64)]
RestSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
RefusalRate = Annotated[float, msgspec.Meta(ge=0.0, le=1e10)]
Retries = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
# The identity of an engine and its start.
Life = Annotated[str, msgspec.Meta(max_length=256)]
DataCentre = Annotated[str, msgspec.Meta(max_length=64)]


class Heartbeat(
    msgspec.Struct, frozen=True, array_like=True, tag='h', tag_field='kind'
):
    """The sender is alive; with ``leaving`` it is about to stop."""

    name: str
    host: str
    data_centre: str
    leaving: bool = False
    crashes_digest: int = 0
    limits_digest: int = 0


class RunPlaced(
    msgspec.Struct, frozen=True, array_like=True, tag='p', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.RunPlaced`."""

    number: int
    engine: str
    memory_tokens: int
    unread_tokens: int
    copy_to: str
    part: str = ''


class RunEnded(
    msgspec.Struct, frozen=True, array_like=True, tag='e', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.RunEnded`."""

    number: int


class EngineFailed(
    msgspec.Struct, frozen=True, array_like=True, tag='f', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineFailed`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class EngineErrored(
    msgspec.Struct, frozen=True, array_like=True, tag='x', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineErrored`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class StreamSilent(
    msgspec.Struct, frozen=True, array_like=True, tag='q', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StreamSilent`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class EngineReplaced(
    msgspec.Struct, frozen=True, array_like=True, tag='r', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineReplaced`."""

    engine: str
    successor: str = ''
    started_at_ms: int = engines.UNKNOWN_START


class EngineRestarted(
    msgspec.Struct, frozen=True, array_like=True, tag='a', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineRestarted`."""

    engine: str
    started_at_ms: int


class EngineLeaving(
    msgspec.Struct, frozen=True, array_like=True, tag='l', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineLeaving`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class EngineResting(
    msgspec.Struct, frozen=True, array_like=True, tag='z', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineResting`."""

    engine: str
    seconds: RestSeconds
    started_at_ms: int = engines.UNKNOWN_START


class EngineRefused(
    msgspec.Struct, frozen=True, array_like=True, tag='b', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineRefused`."""

    engine: str
    refusal_rate: RefusalRate
    started_at_ms: int = engines.UNKNOWN_START


class EngineEntry(msgspec.Struct, frozen=True, array_like=True):
    """See :class:`greengagelb.state.relay.engines.EngineEntry`."""

    engine: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    heartbeat: int
    started_at_ms: int = engines.UNKNOWN_START


class EngineListChanged(
    msgspec.Struct, frozen=True, array_like=True, tag='t', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EngineListChanged`."""

    entries: tuple[EngineEntry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


class StoreRead(
    msgspec.Struct, frozen=True, array_like=True, tag='s', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StoreRead`."""

    digest: int
    version: int | None


class StoreProbed(
    msgspec.Struct, frozen=True, array_like=True, tag='u', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StoreProbed`."""


class StoreRestored(
    msgspec.Struct, frozen=True, array_like=True, tag='g', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StoreRestored`."""

    era: int


class InstancesNotListed(
    msgspec.Struct, frozen=True, array_like=True, tag='n', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.InstancesNotListed`."""

    incarnations: tuple[str, ...]


class Forwarded(
    msgspec.Struct, frozen=True, array_like=True, tag='d', tag_field='kind'
):
    """A datagram to pass on to all instances of the receiver's data centre."""

    datagram: bytes


class ConfigurationApplied(
    msgspec.Struct, frozen=True, array_like=True, tag='c', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.ConfigurationApplied`."""

    version: int


class ServicesUnreachable(
    msgspec.Struct, frozen=True, array_like=True, tag='v', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.ServicesUnreachable`."""

    services: tuple[str, ...]


class EnginesReached(
    msgspec.Struct, frozen=True, array_like=True, tag='y', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EnginesReached`."""


class LoanRequested(
    msgspec.Struct, frozen=True, array_like=True, tag='rq', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.LoanRequested`."""

    number: int
    service: str
    retries: Retries


class LoanGranted(
    msgspec.Struct, frozen=True, array_like=True, tag='rg', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.LoanGranted`."""

    number: int
    retries: Retries


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """See :class:`greengagelb.state.crashes.ReportedCrash`."""

    life: Life
    seconds: float
    age: float
    data_centre: DataCentre = ''
    has_begun: bool = True


class CrashReport(
    msgspec.Struct, frozen=True, array_like=True, tag='k', tag_field='kind'
):
    """See :class:`greengagelb.state.crashes.CrashReport`."""

    fingerprint: Fingerprint
    crashes: tuple[ReportedCrash, ...]
    survived_age: float | None = None
    is_on_trial: bool = False


class CrashReportsRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='w', tag_field='kind'
):
    """See :class:`greengagelb.state.crashes.CrashReportsRequest`."""


Single = (
    Heartbeat
    | RunPlaced
    | RunEnded
    | EngineFailed
    | EngineErrored
    | StreamSilent
    | EngineReplaced
    | EngineRestarted
    | EngineLeaving
    | EngineResting
    | EngineRefused
    | EngineListChanged
    | StoreRead
    | StoreProbed
    | StoreRestored
    | InstancesNotListed
    | ConfigurationApplied
    | ServicesUnreachable
    | EnginesReached
    | LoanRequested
    | LoanGranted
    | CrashReport
    | CrashReportsRequest
    | limit_messages.WireMessage
)


class Batch(
    msgspec.Struct, frozen=True, array_like=True, tag='m', tag_field='kind'
):
    """Several messages that are sent at once."""

    messages: tuple[Single, ...]


class EncodedBatch(
    msgspec.Struct, frozen=True, array_like=True, tag='m', tag_field='kind'
):
    """A batch of messages that are encoded already."""

    messages: tuple[msgspec.Raw, ...]


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """One message; ``incarnation`` is that of the sender."""

    incarnation: str
    message: Single | Batch | Forwarded


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def write_engine(entry: engines.EngineEntry) -> EngineEntry:
    """Return the wire message for an engine's entry."""
    return EngineEntry(
        entry.engine,
        entry.service,
        entry.address.host,
        entry.address.port,
        entry.data_centre,
        entry.slots,
        entry.leaving,
        entry.heartbeat,
        entry.started_at_ms,
    )


def read_engine(wire: EngineEntry) -> engines.EngineEntry:
    """Return the engine's entry in a wire message."""
    return engines.EngineEntry(
        wire.engine,
        wire.service,
        engines.Address(wire.host, wire.port),
        wire.data_centre,
        wire.slots,
        wire.leaving,
        wire.heartbeat,
        wire.started_at_ms,
    )


def encode_hint(incarnation: str, hint: hints.Hint) -> bytes:
    """Return a hint as a datagram."""
    return _encoder.encode(Datagram(incarnation, to_wire(hint)))


def to_wire(hint: hints.Hint) -> Single:
    """Return the wire message for a hint."""
    match hint:
        case hints.RunPlaced():
            wire = RunPlaced(
                hint.number,
                hint.engine,
                hint.memory_tokens,
                hint.unread_tokens,
                hint.copy_to,
                hint.part,
            )
        case hints.RunEnded(number):
            wire = RunEnded(number)
        case hints.EngineFailed(engine, started_at_ms):
            wire = EngineFailed(engine, started_at_ms)
        case hints.EngineErrored(engine, started_at_ms):
            wire = EngineErrored(engine, started_at_ms)
        case hints.StreamSilent(engine, started_at_ms):
            wire = StreamSilent(engine, started_at_ms)
        case hints.EngineReplaced(engine, successor, started_at_ms):
            wire = EngineReplaced(engine, successor, started_at_ms)
        case hints.EngineRestarted(engine, started_at_ms):
            wire = EngineRestarted(engine, started_at_ms)
        case hints.EngineLeaving(engine, started_at_ms):
            wire = EngineLeaving(engine, started_at_ms)
        case hints.EngineResting(engine, seconds, started_at_ms):
            wire = EngineResting(engine, seconds, started_at_ms)
        case hints.EngineRefused(engine, refusal_rate, started_at_ms):
            wire = EngineRefused(engine, refusal_rate, started_at_ms)
        case hints.EngineListChanged(entries, removed, unusable):
            encoded_entries = tuple(map(write_engine, entries))
            wire = EngineListChanged(encoded_entries, removed, unusable)
        case hints.StoreRead(digest, version):
            wire = StoreRead(digest, version)
        case hints.StoreProbed():
            wire = StoreProbed()
        case hints.StoreRestored(era):
            wire = StoreRestored(era)
        case hints.InstancesNotListed(incarnations):
            wire = InstancesNotListed(incarnations)
        case hints.ConfigurationApplied(version):
            wire = ConfigurationApplied(version)
        case hints.ServicesUnreachable(services):
            wire = ServicesUnreachable(services)
        case hints.EnginesReached():
            wire = EnginesReached()
        case hints.LoanRequested(number, service, retries):
            wire = LoanRequested(number, service, retries)
        case hints.LoanGranted(number, retries):
            wire = LoanGranted(number, retries)
        case crashes.CrashReport(fingerprint, found, survived_age, on_trial):
            reported = tuple(
                ReportedCrash(
                    c.life, c.seconds, c.age, c.data_centre, c.has_begun
                )
                for c in found
            )
            wire = CrashReport(fingerprint, reported, survived_age, on_trial)
        case crashes.CrashReportsRequest():
            wire = CrashReportsRequest()
        case _:
            wire = limit_messages.to_wire(hint)
    return wire


def encode_heartbeat(
    member: hints.Member,
    *,
    leaving: bool = False,
    digests: hints.Digests = hints.EMPTY_DIGESTS,
) -> bytes:
    """Return a heartbeat as a datagram."""
    heartbeat = make_heartbeat(member, digests, leaving=leaving)
    return _encoder.encode(Datagram(member.incarnation, heartbeat))


def make_heartbeat(
    member: hints.Member, digests: hints.Digests, *, leaving: bool = False
) -> Heartbeat:
    """Return the heartbeat of an instance."""
    return Heartbeat(
        member.name,
        member.host,
        member.data_centre,
        leaving,
        digests.crashes,
        digests.limits,
    )


def encode_batch(incarnation: str, messages: list[Single]) -> list[bytes]:
    """Return messages in their order, in as few datagrams as they need."""
    datagrams = []
    batch: list[msgspec.Raw] = []
    size = 0
    for message in messages:
        raw = msgspec.Raw(_encoder.encode(message))
        if batch and size + len(raw) > MAX_BATCH_BYTES:
            datagrams.append(encode_messages(incarnation, batch))
            batch, size = [], 0
        batch.append(raw)
        size += len(raw)
    if batch:
        datagrams.append(encode_messages(incarnation, batch))
    return datagrams


def encode_messages(incarnation: str, messages: list[msgspec.Raw]) -> bytes:
    """Return encoded messages as a datagram."""
    if len(messages) == 1:
        return _encoder.encode(Datagram(incarnation, messages[0]))
    return _encoder.encode(
        Datagram(incarnation, EncodedBatch(tuple(messages)))
    )


def encode_forwarded(incarnation: str, raw: bytes) -> bytes:
    """Return a datagram that asks its receiver to pass ``raw`` on."""
    return _encoder.encode(Datagram(incarnation, Forwarded(raw)))


Message = Heartbeat | Forwarded | hints.Hint


@dataclasses.dataclass(frozen=True, slots=True)
class Messages:
    """Several messages of a datagram, in their order."""

    messages: tuple[Message, ...]


def decode_datagram(raw: bytes) -> tuple[str, Message | Messages]:
    """Return the sender's incarnation and the message of a datagram.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    try:
        datagram = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.ProtocolError(str(exc)) from exc
    match datagram.message:
        case Batch(messages):
            message = Messages(tuple(map(read_message, messages)))
        case Forwarded() as message:
            pass
        case single:
            message = read_message(single)
    return datagram.incarnation, message


def read_message(wire: Single) -> Message:
    """Return the hint in a wire message, or a heartbeat as it is."""
    match wire:
        case RunPlaced():
            hint = hints.RunPlaced(
                wire.number,
                wire.engine,
                wire.memory_tokens,
                wire.unread_tokens,
                wire.copy_to,
                wire.part,
            )
        case RunEnded(number):
            hint = hints.RunEnded(number)
        case EngineFailed(engine, started_at_ms):
            hint = hints.EngineFailed(engine, started_at_ms)
        case EngineErrored(engine, started_at_ms):
            hint = hints.EngineErrored(engine, started_at_ms)
        case StreamSilent(engine, started_at_ms):
            hint = hints.StreamSilent(engine, started_at_ms)
        case EngineReplaced(engine, successor, started_at_ms):
            hint = hints.EngineReplaced(engine, successor, started_at_ms)
        case EngineRestarted(engine, started_at_ms):
            hint = hints.EngineRestarted(engine, started_at_ms)
        case EngineLeaving(engine, started_at_ms):
            hint = hints.EngineLeaving(engine, started_at_ms)
        case EngineResting(engine, seconds, started_at_ms):
            hint = hints.EngineResting(engine, seconds, started_at_ms)
        case EngineRefused(engine, refusal_rate, started_at_ms):
            hint = hints.EngineRefused(engine, refusal_rate, started_at_ms)
        case EngineListChanged(entries, removed, unusable):
            decoded_entries = tuple(map(read_engine, entries))
            hint = hints.EngineListChanged(decoded_entries, removed, unusable)
        case StoreRead(digest, version):
            hint = hints.StoreRead(digest, version)
        case StoreProbed():
            hint = hints.StoreProbed()
        case StoreRestored(era):
            hint = hints.StoreRestored(era)
        case InstancesNotListed(incarnations):
            hint = hints.InstancesNotListed(incarnations)
        case ConfigurationApplied(version):
            hint = hints.ConfigurationApplied(version)
        case ServicesUnreachable(services):
            hint = hints.ServicesUnreachable(services)
        case EnginesReached():
            hint = hints.EnginesReached()
        case LoanRequested(number, service, retries):
            hint = hints.LoanRequested(number, service, retries)
        case LoanGranted(number, retries):
            hint = hints.LoanGranted(number, retries)
        case CrashReport(fingerprint, reported, survived_age, on_trial):
            found = tuple(
                crashes.ReportedCrash(
                    c.life, c.seconds, c.age, c.data_centre, c.has_begun
                )
                for c in reported
            )
            hint = crashes.CrashReport(
                fingerprint, found, survived_age, on_trial
            )
        case CrashReportsRequest():
            hint = crashes.CrashReportsRequest()
        case Heartbeat():
            return wire
        case _:
            hint = limit_messages.from_wire(wire)
    return hint
