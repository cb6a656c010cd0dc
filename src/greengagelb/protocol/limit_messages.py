"""Messages between instances about limits, for both peer transports.

They are encoded as arrays like other messages between instances. The length
of texts is limited, as anyone who reaches the port may send arbitrary data.
"""

from typing import Annotated

import msgspec

from greengagelb.state import limits

Life = Annotated[str, msgspec.Meta(max_length=256)]
Account = Annotated[str, msgspec.Meta(max_length=256)]
Incarnation = Annotated[str, msgspec.Meta(max_length=256)]
Number = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, lt=1e10)]


class LimitUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='ln', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LimitUpdate`."""

    life: Life
    rate: Rate | None
    version: Number


class LimitUpdatesRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='lq', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LimitUpdatesRequest`."""


class LeaseRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='lw', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LeaseRequest`."""

    life: Life
    stamp: float


class LeaseGrant(
    msgspec.Struct, frozen=True, array_like=True, tag='ll', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LeaseGrant`."""

    life: Life
    share: Share
    unused: Seconds
    stamp: float


class LeaseReturned(
    msgspec.Struct, frozen=True, array_like=True, tag='lr', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LeaseReturned`."""

    life: Life


class PermitRequestMessage(
    msgspec.Struct, frozen=True, array_like=True, tag='lp', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.PermitRequestMessage`."""

    life: Life
    number: Number
    account: Account
    urgent: bool
    wait: Seconds
    rate: Rate
    version: Number


class PermitAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag='la', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.PermitAnswer`."""

    life: Life
    number: Number
    verdict: limits.Verdict
    wait: Seconds
    share: Share


class PermitReturned(
    msgspec.Struct, frozen=True, array_like=True, tag='lb', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.PermitReturned`."""

    life: Life
    number: Number


class UnpermittedSends(
    msgspec.Struct, frozen=True, array_like=True, tag='ls', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.UnpermittedSends`."""

    life: Life
    count: Number


class LivenessQuery(
    msgspec.Struct, frozen=True, array_like=True, tag='lh', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LivenessQuery`."""


class LivenessReply(
    msgspec.Struct, frozen=True, array_like=True, tag='li', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.LivenessReply`."""


class IssuerSilent(
    msgspec.Struct, frozen=True, array_like=True, tag='lx', tag_field='kind'
):
    """See :class:`greengagelb.state.limits.IssuerSilent`."""

    issuer: Incarnation


WireMessage = (
    LimitUpdate
    | LimitUpdatesRequest
    | LeaseRequest
    | LeaseGrant
    | LeaseReturned
    | PermitRequestMessage
    | PermitAnswer
    | PermitReturned
    | UnpermittedSends
    | LivenessQuery
    | LivenessReply
    | IssuerSilent
)
WIRE_TYPES = {
    limits.LimitUpdate: LimitUpdate,
    limits.LimitUpdatesRequest: LimitUpdatesRequest,
    limits.LeaseRequest: LeaseRequest,
    limits.LeaseGrant: LeaseGrant,
    limits.LeaseReturned: LeaseReturned,
    limits.PermitRequestMessage: PermitRequestMessage,
    limits.PermitAnswer: PermitAnswer,
    limits.PermitReturned: PermitReturned,
    limits.UnpermittedSends: UnpermittedSends,
    limits.LivenessQuery: LivenessQuery,
    limits.LivenessReply: LivenessReply,
    limits.IssuerSilent: IssuerSilent,
}
MESSAGE_TYPES = {wire: message for message, wire in WIRE_TYPES.items()}


def to_wire(message: limits.Message) -> WireMessage:
    """Return the wire message for a message.

    Both classes have the same fields in the same order.
    """
    wire = WIRE_TYPES[type(message)]
    fields = [getattr(message, name) for name in wire.__struct_fields__]
    return wire(*fields)


def from_wire(wire: WireMessage) -> limits.Message:
    """Return the message in a wire message."""
    fields = [getattr(wire, name) for name in wire.__struct_fields__]
    return MESSAGE_TYPES[type(wire)](*fields)
