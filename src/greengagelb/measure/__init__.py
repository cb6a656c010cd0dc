"""Experiments on the decisions, in virtual time; they print JSON."""
