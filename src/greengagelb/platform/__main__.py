"""Runs an instance: ``python3 -m greengagelb.platform``.

With words behind it, it lists or lifts blocks instead; see
:mod:`greengagelb.platform.blocks`.

Signal handlers are installed before any large library is imported, because
the imports take half a second. The default handlers would end the process
meanwhile: a reload would stop the instance, and a stop would look like a
crash.
"""

import gc
import signal
import sys


def main() -> int:
    """Install signal handlers, then run an instance, or a command."""
    if sys.argv[1:]:
        from greengagelb.platform import blocks  # noqa: PLC0415

        return blocks.main(sys.argv[1:])
    # A reload has no effect yet: the settings are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No request is in flight yet, so the process can exit at once.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # Imported objects are never freed. Garbage collection during the imports
    # makes an instance's start take a tenth longer.
    gc.disable()

    from greengagelb.platform import process  # noqa: PLC0415

    return process.main()


if __name__ == '__main__':
    sys.exit(main())
