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
MAX_TEXT_CHARACTERS = 40


def parse_limit(values: Sequence[bytes]) -> limits.AdvertisedLimit:
    """Return what the values of the header say; None without any.

    Two values would leave open which one holds.
    """
    if not values:
        return None
    if len(values) == 1 and DECIMAL.fullmatch(values[0].strip()):
        return float(values[0])
    text = b', '.join(values)[:MAX_TEXT_CHARACTERS]
    return limits.UnusableLimit(text.decode('latin-1'))
