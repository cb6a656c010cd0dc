"""What an instance knows of the other instances."""

import dataclasses
import enum


class Standing(enum.Enum):
    """What another instance can be counted on for.

    ``LISTED`` is one that the platform's list shows and that has not been
    heard of here; it may be dead, cut off, or not reached yet.
    """

    LIVE = 'live'
    LISTED = 'listed'
    LEAVING = 'leaving'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PeerAddress:
    """Where an instance's peer port is: IP number and port."""

    host: str
    port: int
