"""What instances say is in force with them, and where they differ."""

import collections
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport:
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
class ReportUnavailable:
    """Why nothing is known of an instance."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ComparedReport:
    """One address, what was found there, and how it differs from most.

    ``differences`` is empty where it agrees with them.
    """

    address: str
    found: InstanceReport | ReportUnavailable
    differences: tuple[str, ...] = ()


def compare_reports(
    found: Sequence[tuple[str, InstanceReport | ReportUnavailable]],
) -> list[ComparedReport]:
    """Return all addresses, those that differ or don't answer first.

    What most of them have counts as right; of two with as many the newer
    configuration and the digest that sorts last.
    """
    reports = [
        report for _, report in found if isinstance(report, InstanceReport)
    ]
    digest = find_most_common([report.digest for report in reports])
    version = find_most_common(
        [report.configuration_version for report in reports]
    )
    release = find_most_common([report.release for report in reports])
    compared: list[ComparedReport] = []
    for address, report in found:
        match report:
            case ReportUnavailable():
                compared.append(
                    ComparedReport(address, report, (report.reason,))
                )
            case InstanceReport():
                differences: list[str] = []
                if report.digest != digest:
                    differences.append(f'settings, most have {digest}')
                if report.configuration_version != version:
                    differences.append(f'configuration, most have {version}')
                if report.release != release:
                    differences.append(f'release, most have {release}')
                compared.append(
                    ComparedReport(address, report, tuple(differences))
                )
    compared.sort(key=sort_key)
    return compared


def sort_key(compared: ComparedReport) -> tuple[bool, bool, str]:
    """Return the order in which operators want to see instances."""
    agrees = not compared.differences
    answered = isinstance(compared.found, InstanceReport)
    return (agrees, answered, compared.address)


def find_most_common(values: list) -> object:
    """Return the value that most have, the highest of those; None of none."""
    counts = collections.Counter(values)
    return max(counts, key=lambda value: (counts[value], value), default=None)
