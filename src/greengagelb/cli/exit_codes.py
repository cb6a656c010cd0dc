"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """The exit codes that scripts rely on; the values never change.

    ``UNREACHABLE`` means that at least one instance gave no answer, so the
    output may be incomplete. ``REFUSED`` means that an instance rejected the
    request; the code on standard error says why. ``UNSETTLED`` means that the
    change may or may not have taken effect. ``NEEDS_START`` means that a
    running process applies a change of settings only in part or not at all.
    ``DIFFERENT`` means that all instances answered and some have different
    settings, or do not meet the awaited condition; ``NOTHING_FOUND`` that no
    instance answered.
    """

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    BAD_SETTINGS = 3
    UNREACHABLE = 4
    CONFLICT = 5
    REFUSED = 6
    UNSETTLED = 7
    NEEDS_START = 8
    DIFFERENT = 9
    NOTHING_FOUND = 10
