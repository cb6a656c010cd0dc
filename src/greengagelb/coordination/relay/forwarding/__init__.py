"""Requests that reach an engine through another instance."""
