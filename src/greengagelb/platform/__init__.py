"""Adapter for the users' platform: its names, formats and calls.

The modules here convert between the platform's formats and the product's own
types and make no decisions. No other module uses a name of the platform.
"""
