"""Decisions about relayed requests; no I/O, no clock."""
