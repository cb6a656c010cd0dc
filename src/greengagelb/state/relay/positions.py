"""How far an instance has read in the store, and in which of its histories.

When a store comes back from an older copy, what was written since is gone and
versions are given out again. Each time it begins a new era. Versions can be
compared within one era only.
"""

import dataclasses

# The era of a store that states none.
NO_ERA = -1


@dataclasses.dataclass(frozen=True, slots=True)
class StorePosition:
    """A version of the store, in an era."""

    era: int
    version: int
