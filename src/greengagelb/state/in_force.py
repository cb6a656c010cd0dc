"""Reports of what is in force on instances, and their comparison."""

import collections
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport:
    """What an instance reports about itself.

    ``settings_seconds`` and ``store_seconds`` are ages in seconds;
    ``store_seconds`` is None if the instance does not report it.
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
        """Return the digest of the settings in hexadecimal, for output."""
        return f'{self.settings_digest:08x}'


@dataclasses.dataclass(frozen=True, slots=True)
class ReportUnavailable:
    """Why there is no report from an instance."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ComparedReport:
    """The report from an address and how it differs from the majority.

    ``differences`` is empty if it agrees with the majority.
    """

    address: str
    found: InstanceReport | ReportUnavailable
    differences: tuple[str, ...] = ()


def compare_reports(
    found: Sequence[tuple[str, InstanceReport | ReportUnavailable]],
) -> list[ComparedReport]:
    """Compare the reports; those that differ or are missing come first.

    The most common value is the reference. Ties are resolved in favour of
    the newer configuration and of the digest that sorts last.
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
    """Return the sort key: missing, then differing, then agreeing reports."""
    agrees = not compared.differences
    answered = isinstance(compared.found, InstanceReport)
    return (agrees, answered, compared.address)


def find_most_common(values: list) -> object:
    """Return the most common value, on a tie the highest; None if empty."""
    counts = collections.Counter(values)
    return max(counts, key=lambda value: (counts[value], value), default=None)
