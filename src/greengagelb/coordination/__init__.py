"""Decisions: typed events in, typed actions out, no I/O and no clock."""
