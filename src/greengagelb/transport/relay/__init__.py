"""Connections to callers, engines, the store and the other instances."""
