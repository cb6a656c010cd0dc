"""Reserved ports for the processes of the demonstration and the tests."""

import socket

import pytest

from greengagelb.cli import launcher


def test_port_is_given_to_one_launcher_only_and_can_be_listened_on():
    """Guards against two fleets that choose the same port at the same time.

    The process that listens later would fail with "address already in use".
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
