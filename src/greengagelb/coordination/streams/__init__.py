"""Decisions that keep generations running while engines fail."""
