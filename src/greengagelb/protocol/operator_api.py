"""Messages between operators and an instance, over HTTP on a separate port.

``POST /v1/plans`` with an intent -> the plan; ``POST /v1/plans/{id}/confirm``
-> the confirmed plan, or 409 :class:`Conflict`, or 503
``confirm-unsettled``; ``GET /v1/plans/{id}`` -> the plan with its current
stage; ``GET /v1/status``; ``GET /v1/timeline`` as in
:mod:`~greengagelb.protocol.timeline_api`. Header
``Authorization: Bearer KEY``.

An intent is an object with ``type``, one of :data:`INTENTS`, and the
attributes of that data class.
"""

import dataclasses

import msgspec

from greengagelb import errors
from greengagelb.protocol import codec
from greengagelb.state import fleet
from greengagelb.state import plans

INTENTS: dict[str, type[plans.Intent]] = {
    'replace-configuration': plans.ReplaceConfiguration,
    'put-account': plans.PutAccount,
    'put-service': plans.PutService,
    'put-pool': plans.PutPool,
    'drain-upstream': plans.DrainUpstream,
    'return-upstream': plans.ReturnUpstream,
    'change-model': plans.ChangeModel,
    'move-upstream': plans.MoveUpstream,
    'change-role': plans.ChangeRole,
}


class IntentType(msgspec.Struct, frozen=True):
    """The attribute of an intent that contains its type."""

    type: str


class InstanceStatus(msgspec.Struct, frozen=True):
    """What this instance knows about another instance or itself."""

    name: str
    data_centre: str
    incarnation: str
    configuration_version: int
    standing: fleet.Standing


class Status(msgspec.Struct, frozen=True):
    """An instance's status report about itself and the others.

    ``in_force_on`` of ``instances_known`` in this data centre have the
    highest known version; ``missing`` names those that lack it.
    ``data_centres`` has the latest such summary of each data centre.
    """

    process: str
    data_centre: str
    incarnation: str
    configuration_version: int
    stopping: bool
    running: int
    waiting: int
    ready: bool = False
    in_force_on: int = 0
    instances_known: int = 0
    missing: list[str] = []
    instances: list[InstanceStatus] = []
    data_centres: list[fleet.DataCentreSummary] = []
    leaving_upstreams: list[str] = []


class Conflict(msgspec.Struct, frozen=True):
    """Why a plan can no longer be confirmed, and what has changed since."""

    title: str
    status: int
    code: str
    ran: str
    detail: str
    current_version: int
    changes: list[plans.Confirmation]


def encode_intent(intent: plans.Intent) -> bytes:
    """Return the encoded message of an intent."""
    (kind,) = [
        k
        for k, intent_class in INTENTS.items()
        if intent_class is type(intent)
    ]
    fields = {
        field.name: getattr(intent, field.name)
        for field in dataclasses.fields(intent)
    }
    return codec.encode({'type': kind, **fields})


def decode_intent(raw: bytes) -> plans.Intent:
    """Return the intent in a message.

    Raises :class:`~greengagelb.errors.ProtocolError` for unknown attributes,
    as a misspelt optional attribute would silently get its default.
    """
    kind = codec.decode(raw, IntentType).type
    if kind not in INTENTS:
        known = ', '.join(INTENTS)
        raise errors.ProtocolError(
            f'unknown type {kind}; write one of {known}'
        )
    intent_class = INTENTS[kind]
    given_attributes = codec.decode(raw, dict[str, msgspec.Raw])
    known = {field.name for field in dataclasses.fields(intent_class)} | {
        'type'
    }
    unknown = sorted(set(given_attributes) - known)
    if unknown:
        raise errors.ProtocolError(f'{kind} has no {", ".join(unknown)}')
    return codec.decode(raw, intent_class)
