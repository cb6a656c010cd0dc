"""Sockets, timers and HTTP: carries out what the decisions ask for."""
