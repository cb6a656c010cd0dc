"""Sockets, timers and HTTP: carries out the actions of the decisions."""
