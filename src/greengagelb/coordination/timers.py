"""Names of the timers that decisions set, and when they count as late."""

# A timer that fires later than this shows that the process stood still.
LATE_TIMER_SECONDS = 0.1


def timer_name(kind: str, exchange: int) -> str:
    """Return the name of an exchange's timer."""
    return f'{kind}:{exchange}'
