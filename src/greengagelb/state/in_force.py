"""What instances say is in force with them, and where they differ."""

import collections
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """What one instance says of itself.

    Ages are in seconds; ``store_seconds`` is None where it is not told.
    """

    name: str
    data_centre: str
    release: str
    stopping: bool
    settings_digest: int
    settings_seconds: float
    configuration_version: int
    engines: int
    running: int
    store_seconds: float | None = None

    @property
    def digest(self) -> str:
        """Return the digest of the settings as people read it."""
        return f'{self.settings_digest:08x}'


@dataclasses.dataclass(frozen=True, slots=True)
class NoPage:
    """Why nothing is known of an instance."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """One address, what was found there, and how it differs from most.

    ``differences`` is empty where it agrees with them.
    """

    address: str
    found: InForce | NoPage
    differences: tuple[str, ...] = ()


def compare(found: Sequence[tuple[str, InForce | NoPage]]) -> list[Seen]:
    """Return all addresses, those that differ or don't answer first.

    What most of them have counts as right; of two with as many the newer
    configuration and the digest that sorts last.
    """
    answers = [page for _, page in found if isinstance(page, InForce)]
    digest = most_common([page.digest for page in answers])
    version = most_common([page.configuration_version for page in answers])
    release = most_common([page.release for page in answers])
    seen: list[Seen] = []
    for address, page in found:
        match page:
            case NoPage():
                seen.append(Seen(address, page, (page.reason,)))
            case InForce():
                differs: list[str] = []
                if page.digest != digest:
                    differs.append(f'settings, most have {digest}')
                if page.configuration_version != version:
                    differs.append(f'configuration, most have {version}')
                if page.release != release:
                    differs.append(f'release, most have {release}')
                seen.append(Seen(address, page, tuple(differs)))
    seen.sort(key=order_of)
    return seen


def order_of(seen: Seen) -> tuple[bool, bool, str]:
    """Return the order in which operators want to see instances."""
    agrees = not seen.differences
    answered = isinstance(seen.found, InForce)
    return (agrees, answered, seen.address)


def most_common(values: list) -> object:
    """Return the value that most have, the highest of those; None of none."""
    counts = collections.Counter(values)
    return max(counts, key=lambda value: (counts[value], value), default=None)
