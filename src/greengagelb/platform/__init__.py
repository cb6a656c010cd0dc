"""The users' platform: its names, formats and calls.

What stands here is turned once into the product's own types and back. No
module of this folder decides anything, and no other module knows a name of
the platform's.
"""
