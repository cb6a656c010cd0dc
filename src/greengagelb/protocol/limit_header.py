"""How an engine's answer names the requests a second that it takes."""

from collections.abc import Sequence
import re

from greengagelb.state import limits

# By the product's own interface: the requests a second that an upstream takes
# from all instances together, and the incarnation that says so.
LIMIT_HEADER = 'X-Request-Limit'
INCARNATION_HEADER = 'X-Incarnation'

# Digits are bounded so that no value is infinite.
DECIMAL = re.compile(rb'\d{1,9}(\.\d{0,9})?')
# The most of an unusable value that is kept for the log.
MOST_TEXT = 40


def read_limit(values: Sequence[bytes]) -> limits.Named:
    """Return what the values of the header say; None without any.

    Two values would leave open which one holds.
    """
    if not values:
        return None
    if len(values) == 1 and DECIMAL.fullmatch(values[0].strip()):
        return float(values[0])
    text = b', '.join(values)[:MOST_TEXT]
    return limits.Unusable(text.decode('latin-1'))
