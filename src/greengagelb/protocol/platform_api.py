"""Messages between an instance and the platform's service, over HTTP.

``GET /tables/{table}/row?key=`` -> :class:`Row` or 404;
``PUT /tables/{table}/row?key=`` :class:`Write` -> :class:`Row`, or 409 with
the conflicting row; ``GET /tables/{table}/rows`` -> list of
:class:`Row`; ``GET``/``PUT /objects?key=`` raw bytes; ``GET /instances``
-> list of :class:`Instance`, possibly out of date;
``POST /weights/{model}/{version}`` -> 200, or 429 with ``Retry-After`` when
loads are too frequent.
"""

import msgspec

from greengagelb.state import identity

LIVE = 'live'
LEAVING = 'leaving'


class Write(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A conditional write: it succeeds only on ``expected_version``.

    Version 0 means that the row must not exist yet.
    """

    expected_version: int
    value: str


class Row(msgspec.Struct, frozen=True):
    """A row of a table; ``version`` increases by one with each write."""

    key: str
    version: int
    value: str


class Instance(msgspec.Struct, frozen=True):
    """An entry of the platform's list; ``state`` is live or leaving.

    An upstream is listed with ``peer_port`` 0.
    """

    name: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    data_centre: str
    incarnation: str
    state: str = LIVE


def to_engine_id(instance: Instance) -> identity.EngineId:
    """Return the id of the upstream in an entry of the list."""
    return identity.EngineId(instance.name, instance.incarnation)
