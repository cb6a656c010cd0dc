"""Tests of the relay of opaque requests."""
