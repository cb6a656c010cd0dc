"""Ports for the demonstration's and the tests' processes."""

import socket

import pytest

from greengagelb.cli import launcher


def test_port_is_given_to_one_launcher_only_and_can_be_listened_on():
    """Two fleets start at the same time and draw the same port.

    The one that listens later would end with "address already in use".
    """
    port = launcher.reserve_port()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind((launcher.HOST, port))
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((launcher.HOST, port))
        listener.listen()
        assert launcher.is_listening(port)
    assert not launcher.is_listening(port)
