"""Decisions that keep streams going while engines fail."""
