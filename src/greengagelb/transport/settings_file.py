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
        self, path: pathlib.Path, call_back: Callable[[], None]
    ) -> None:
        self.path = path
        self.call_back = call_back
        self.known = self.stamp()

    def stamp(self) -> tuple[int, int, int] | None:
        """Return what differs once the file was written, or None."""
        try:
            found = self.path.stat()
        except OSError:
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns

    def look(self) -> None:
        """Call back if the file is another one than before.

        A file that is missing just now is being replaced.
        """
        stamp = self.stamp()
        if stamp is not None and stamp != self.known:
            self.known = stamp
            self.call_back()

    def changed(self) -> None:
        """Call back, as somebody says that the file has changed."""
        self.known = self.stamp()
        self.call_back()
