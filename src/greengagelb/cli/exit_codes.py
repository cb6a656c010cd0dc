"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code tells a script; the values never change.

    ``UNREACHABLE`` means that at least one instance gave no answer, so what
    was printed may be a part of the whole. ``REFUSED`` means that an instance
    answered and said no; the code on standard error tells why. ``UNSETTLED``
    means that the change may or may not have taken effect. ``NEEDS_START``
    means that a process that runs takes a change of settings in part or not at
    all. ``DIFFERENT`` means that all instances answered and some have other
    settings, or not what was waited for; ``NOTHING_FOUND`` that none answered.
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
