"""Hints between instances as datagrams.

Datagrams and not ``zmq``: a hint that is late is worthless, so nothing is
queued or sent again, and an instance needs one socket for hundreds of others
instead of a connection to each.
"""

from typing import Annotated

import msgspec

from greengagelb import errors
from greengagelb.protocol import limit_messages
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

Fingerprint = Annotated[str, msgspec.Meta(max_length=64)]
# The identity of an engine and its start.
Life = Annotated[str, msgspec.Meta(max_length=256)]


class Heartbeat(
    msgspec.Struct, frozen=True, array_like=True, tag='h', tag_field='kind'
):
    """The sender is there; ``leaving`` that it stops now."""

    name: str
    host: str
    data_centre: str
    leaving: bool = False
    crashes_digest: int = 0
    limits_digest: int = 0


class Placed(
    msgspec.Struct, frozen=True, array_like=True, tag='p', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Placed`."""

    number: int
    engine: str
    memory_tokens: int
    unread_tokens: int
    copy_to: str
    part: str = ''
    attempt: int = 0


class Ended(
    msgspec.Struct, frozen=True, array_like=True, tag='e', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Ended`."""

    number: int


class Failed(
    msgspec.Struct, frozen=True, array_like=True, tag='f', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Failed`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class Erred(
    msgspec.Struct, frozen=True, array_like=True, tag='x', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Erred`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class Silent(
    msgspec.Struct, frozen=True, array_like=True, tag='q', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Silent`."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


class Replaced(
    msgspec.Struct, frozen=True, array_like=True, tag='r', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Replaced`."""

    engine: str
    successor: str = ''
    started_at_ms: int = engines.UNKNOWN_START


class Restarted(
    msgspec.Struct, frozen=True, array_like=True, tag='a', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.Restarted`."""

    engine: str
    started_at_ms: int


class Engine(msgspec.Struct, frozen=True, array_like=True):
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


class EnginesTold(
    msgspec.Struct, frozen=True, array_like=True, tag='t', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.EnginesTold`."""

    entries: tuple[Engine, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


class StoreRead(
    msgspec.Struct, frozen=True, array_like=True, tag='s', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StoreRead`."""

    digest: int
    version: int | None


class StoreTried(
    msgspec.Struct, frozen=True, array_like=True, tag='u', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StoreTried`."""


class StoreRestored(
    msgspec.Struct, frozen=True, array_like=True, tag='g', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.StoreRestored`."""

    era: int


class NotListed(
    msgspec.Struct, frozen=True, array_like=True, tag='n', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.NotListed`."""

    incarnations: tuple[str, ...]


class Forwarded(
    msgspec.Struct, frozen=True, array_like=True, tag='d', tag_field='kind'
):
    """A datagram for all instances of the receiver's data centre."""

    datagram: bytes


class ConfigurationApplied(
    msgspec.Struct, frozen=True, array_like=True, tag='c', tag_field='kind'
):
    """See :class:`greengagelb.state.relay.hints.ConfigurationApplied`."""

    version: int


class ToldCrash(msgspec.Struct, frozen=True, array_like=True):
    """See :class:`greengagelb.state.crashes.ToldCrash`."""

    life: Life
    seconds: float
    age: float


class CrashReport(
    msgspec.Struct, frozen=True, array_like=True, tag='k', tag_field='kind'
):
    """See :class:`greengagelb.state.crashes.CrashReport`."""

    fingerprint: Fingerprint
    crashes: tuple[ToldCrash, ...]
    survived_age: float | None = None


class CrashesWanted(
    msgspec.Struct, frozen=True, array_like=True, tag='w', tag_field='kind'
):
    """See :class:`greengagelb.state.crashes.Wanted`."""


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """One message; ``incarnation`` is that of the sender."""

    incarnation: str
    message: (
        Heartbeat
        | Placed
        | Ended
        | Failed
        | Erred
        | Silent
        | Replaced
        | Restarted
        | EnginesTold
        | StoreRead
        | StoreTried
        | StoreRestored
        | NotListed
        | ConfigurationApplied
        | CrashReport
        | CrashesWanted
        | Forwarded
        | limit_messages.Wire
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def write_engine(entry: engines.EngineEntry) -> Engine:
    """Return an engine's entry as it is sent."""
    return Engine(
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


def read_engine(wire: Engine) -> engines.EngineEntry:
    """Return an engine's entry."""
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
    match hint:
        case hints.Placed():
            wire = Placed(
                hint.number,
                hint.engine,
                hint.memory_tokens,
                hint.unread_tokens,
                hint.copy_to,
                hint.part,
                hint.attempt,
            )
        case hints.Ended(number):
            wire = Ended(number)
        case hints.Failed(engine, started_at_ms):
            wire = Failed(engine, started_at_ms)
        case hints.Erred(engine, started_at_ms):
            wire = Erred(engine, started_at_ms)
        case hints.Silent(engine, started_at_ms):
            wire = Silent(engine, started_at_ms)
        case hints.Replaced(engine, successor, started_at_ms):
            wire = Replaced(engine, successor, started_at_ms)
        case hints.Restarted(engine, started_at_ms):
            wire = Restarted(engine, started_at_ms)
        case hints.EnginesTold(entries, removed, unusable):
            written = tuple(map(write_engine, entries))
            wire = EnginesTold(written, removed, unusable)
        case hints.StoreRead(digest, version):
            wire = StoreRead(digest, version)
        case hints.StoreTried():
            wire = StoreTried()
        case hints.StoreRestored(era):
            wire = StoreRestored(era)
        case hints.NotListed(incarnations):
            wire = NotListed(incarnations)
        case hints.ConfigurationApplied(version):
            wire = ConfigurationApplied(version)
        case crashes.CrashReport(fingerprint, found, survived_age):
            told = tuple(ToldCrash(c.life, c.seconds, c.age) for c in found)
            wire = CrashReport(fingerprint, told, survived_age)
        case crashes.Wanted():
            wire = CrashesWanted()
        case _:
            wire = limit_messages.write(hint)
    return _encoder.encode(Datagram(incarnation, wire))


def encode_heartbeat(
    member: hints.Member,
    *,
    leaving: bool = False,
    known: hints.Digests = hints.NOTHING_KNOWN,
) -> bytes:
    """Return a heartbeat as a datagram."""
    beat = Heartbeat(
        member.name,
        member.host,
        member.data_centre,
        leaving,
        known.crashes,
        known.limits,
    )
    return _encoder.encode(Datagram(member.incarnation, beat))


def encode_forwarded(incarnation: str, raw: bytes) -> bytes:
    """Return a datagram to be passed on to a data centre, as one."""
    return _encoder.encode(Datagram(incarnation, Forwarded(raw)))


Message = Heartbeat | Forwarded | hints.Hint


def decode(raw: bytes) -> tuple[str, Message]:
    """Return who sent a datagram, and what.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    try:
        datagram = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.ProtocolError(str(exc)) from exc
    match datagram.message:
        case Placed() as wire:
            hint = hints.Placed(
                wire.number,
                wire.engine,
                wire.memory_tokens,
                wire.unread_tokens,
                wire.copy_to,
                wire.part,
                wire.attempt,
            )
        case Ended(number):
            hint = hints.Ended(number)
        case Failed(engine, started_at_ms):
            hint = hints.Failed(engine, started_at_ms)
        case Erred(engine, started_at_ms):
            hint = hints.Erred(engine, started_at_ms)
        case Silent(engine, started_at_ms):
            hint = hints.Silent(engine, started_at_ms)
        case Replaced(engine, successor, started_at_ms):
            hint = hints.Replaced(engine, successor, started_at_ms)
        case Restarted(engine, started_at_ms):
            hint = hints.Restarted(engine, started_at_ms)
        case EnginesTold(entries, removed, unusable):
            read = tuple(map(read_engine, entries))
            hint = hints.EnginesTold(read, removed, unusable)
        case StoreRead(digest, version):
            hint = hints.StoreRead(digest, version)
        case StoreTried():
            hint = hints.StoreTried()
        case StoreRestored(era):
            hint = hints.StoreRestored(era)
        case NotListed(incarnations):
            hint = hints.NotListed(incarnations)
        case ConfigurationApplied(version):
            hint = hints.ConfigurationApplied(version)
        case CrashReport(fingerprint, told, survived_age):
            found = tuple(
                crashes.ToldCrash(c.life, c.seconds, c.age) for c in told
            )
            hint = crashes.CrashReport(fingerprint, found, survived_age)
        case CrashesWanted():
            hint = crashes.Wanted()
        case Heartbeat() | Forwarded() as other:
            return datagram.incarnation, other
        case limited:
            hint = limit_messages.read(limited)
    return datagram.incarnation, hint
