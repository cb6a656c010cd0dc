"""Names of the timers that decisions set."""


def timer_name(kind: str, exchange: int) -> str:
    """Return the name of an exchange's timer."""
    return f'{kind}:{exchange}'
