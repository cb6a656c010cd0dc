"""Settings of an instance that relays opaque requests.

Read and checked like those of :mod:`greengagelb.settings`, whose parsers they
share.
"""

import dataclasses
import pathlib

from greengagelb import settings
from greengagelb.state.relay import bounds
from greengagelb.state.relay import engines


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section ``[instance]``: who and where this process is.

    ``peer_port`` is the port on which the instances tell each other what they
    put on engines, over UDP, and open connections to engines for each other,
    over TCP; it is the same on all of them.
    """

    name: str
    data_centre: str
    caller_address: engines.Address
    ready_address: engines.Address
    peer_port: int
    metrics_port: int
    timeline_events: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Section ``[store]``: where the platform's store is."""

    address: engines.Address


@dataclasses.dataclass(frozen=True, slots=True)
class StopSettings:
    """Section ``[stop]``: how long the platform waits for a stop."""

    grace_seconds: float = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """All settings of a relaying instance."""

    instance: InstanceSettings
    store: StoreSettings
    retries: bounds.RetryBounds
    stop: StopSettings
    engines: bounds.EngineBounds

    def __post_init__(self) -> None:
        place = self.instance
        if place.caller_address == place.ready_address:
            raise ValueError(
                '[instance] ready_address: write another one than '
                'caller_address'
            )
        # The metrics are served at the callers' IP number. With a port that
        # is taken there the process would end only once it listens.
        metrics = engines.Address(
            place.caller_address.host, place.metrics_port
        )
        taken = [place.caller_address, place.ready_address]
        forwarding = engines.Address(
            place.caller_address.host, place.peer_port
        )
        if forwarding in (*taken, metrics):
            raise ValueError(
                '[instance] peer_port: write another port than those of '
                'caller_address, ready_address and metrics_port'
            )
        if metrics in taken:
            raise ValueError(
                '[instance] metrics_port: write another port than those of '
                'caller_address and ready_address'
            )


def parse_address(text: str) -> engines.Address:
    """Return an address from ``ip:port``."""
    host, _, port = text.strip().rpartition(':')
    return engines.Address(
        settings.parse_ip_number(host), settings.parse_port(port)
    )


def parse_amount(text: str) -> float:
    """Return a number that is not negative."""
    try:
        amount = float(text)
    except ValueError:
        amount = -1.0
    if not 0 <= amount < 1e9:
        raise ValueError('write a number from 0 on, such as 0.8')
    return amount


SECTIONS: settings.Sections = {
    'instance': (
        InstanceSettings,
        {
            'name': settings.parse_name,
            'data_centre': settings.parse_name,
            'caller_address': parse_address,
            'ready_address': parse_address,
            'peer_port': settings.parse_port,
            'metrics_port': settings.parse_port,
            'timeline_events': settings.parse_count,
        },
    ),
    'store': (StoreSettings, {'address': parse_address}),
    'retries': (
        bounds.RetryBounds,
        {
            'ratio': parse_amount,
            'window_seconds': settings.parse_seconds,
            'slack': parse_amount,
        },
    ),
    'engines': (
        bounds.EngineBounds,
        {
            'address_reuse_seconds': parse_amount,
            'heartbeat_milliseconds': parse_amount,
        },
    ),
    'stop': (StopSettings, {'grace_seconds': settings.parse_seconds}),
}


def read_relay_settings(path: pathlib.Path) -> RelaySettings:
    """Return the settings in an INI file.

    Raises :class:`~greengagelb.errors.SettingsError`, which names the first
    mistake.
    """
    parser = settings.parse_file(path)
    settings.check_sections(path, parser, SECTIONS)
    return settings.build_settings(path, parser, SECTIONS, RelaySettings)
