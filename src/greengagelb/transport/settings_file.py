"""Notices that the file of the settings was replaced."""

from collections.abc import Callable
import pathlib


class WatchedFile:
    """Calls back when a file has changed.

    A platform may replace the file and send no signal, or send the signal
    late. Whoever only read it at the start would go by old bounds until the
    next one.
    """

    def __init__(
        self, path: pathlib.Path, on_change: Callable[[], None]
    ) -> None:
        self.path = path
        self.on_change = on_change
        self.last_stamp = self.read_stamp()

    def read_stamp(self) -> tuple[int, int, int] | None:
        """Return what differs once the file was written, or None."""
        try:
            found = self.path.stat()
        except OSError:
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns

    def check_for_change(self) -> None:
        """Call back if the file is another one than before.

        A file that is missing just now is being replaced.
        """
        stamp = self.read_stamp()
        if stamp is not None and stamp != self.last_stamp:
            self.last_stamp = stamp
            self.on_change()

    def handle_change_notice(self) -> None:
        """Call back, as somebody says that the file has changed."""
        self.last_stamp = self.read_stamp()
        self.on_change()
