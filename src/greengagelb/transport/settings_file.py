"""Detects that the settings file was replaced."""

from collections.abc import Callable
import pathlib


class WatchedFile:
    """Calls ``on_change`` when a file has changed.

    A platform may replace the file without sending a signal, or send it late.
    A process that only read the file at its start would keep old settings
    until then.
    """

    def __init__(
        self, path: pathlib.Path, on_change: Callable[[], None]
    ) -> None:
        self.path = path
        self.on_change = on_change
        self.last_stamp = self.read_stamp()

    def read_stamp(self) -> tuple[int, int, int] | None:
        """Return values that change when the file is written, or None."""
        try:
            found = self.path.stat()
        except OSError:
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns

    def check_for_change(self) -> None:
        """Call ``on_change`` if the file differs from the last check.

        A missing file is ignored, as it is being replaced.
        """
        stamp = self.read_stamp()
        if stamp is not None and stamp != self.last_stamp:
            self.last_stamp = stamp
            self.on_change()

    def handle_change_notice(self) -> None:
        """Call ``on_change`` on an external notice, such as a signal."""
        self.last_stamp = self.read_stamp()
        self.on_change()
