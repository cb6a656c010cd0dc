"""Connections to engines through other instances."""
