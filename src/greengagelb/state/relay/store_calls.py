"""Counts this instance's calls to the store by kind and cause."""

import collections
import dataclasses
import enum


class CallKind(enum.Enum):
    """Kind of a call."""

    REGISTER = 'register'
    UNREGISTER = 'unregister'
    MEMBERS = 'instances'
    CONFIGURATION = 'configuration'
    ENGINES = 'engines'
    CRASHES = 'crashes'


class CallCause(enum.Enum):
    """Why a call is made."""

    START = 'start'
    READS_FOR_ALL = 'reads-for-all'
    NO_NOTIFICATION = 'no-notification'
    NEWER_KNOWN = 'newer-known'
    AFTER_FAILURE = 'after-failure'
    HISTORY_GONE = 'history-gone'
    CHECK = 'check'
    FOUND = 'found'
    OVER = 'over'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class CountedCall:
    """A kind of call for one cause."""

    call: CallKind
    cause: CallCause


class StoreCalls:
    """Counts store calls, as their cost adds up over a fleet."""

    def __init__(self) -> None:
        self.counts: collections.Counter[CountedCall] = collections.Counter()

    def count_call(self, call: CallKind, cause: CallCause) -> None:
        """Count a call that is about to be made."""
        self.counts[CountedCall(call, cause)] += 1

    def format_summary(self) -> str:
        """Return all counts in one line, largest first."""
        return ', '.join(
            f'{counted.call.value} {counted.cause.value} {number}'
            for counted, number in self.counts.most_common()
        )
