"""How far an instance has read in the store, and in which era.

When a store is restored from an older copy, later writes are lost and their
versions are assigned again. Each restore begins a new era. Versions are
comparable within one era only.
"""

import dataclasses

# The era of a store that does not report one.
NO_ERA = -1


@dataclasses.dataclass(frozen=True, slots=True)
class StorePosition:
    """A version of the store, in an era."""

    era: int
    version: int
