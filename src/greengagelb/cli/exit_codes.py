"""Exit codes of the command line."""

SUCCESS = 0
FAILURE = 1
USAGE = 2
BAD_SETTINGS = 3
UNREACHABLE = 4
CONFLICT = 5
