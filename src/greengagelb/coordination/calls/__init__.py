"""Decisions on calls to plain services, which may run at most once."""
