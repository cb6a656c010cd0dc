"""State that the decision code reads and writes; no I/O and no clocks."""
