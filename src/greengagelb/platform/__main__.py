"""The program of an instance: ``python3 -m greengagelb.platform``.

Signals are handled before anything large is imported, which takes half a
second. Until then the usual handling would end the process: a reload would
take an instance out, and a stop would look like a crash.
"""

import gc
import signal
import sys


def main() -> int:
    """Handle signals, then run an instance."""
    # The settings are about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing is under way yet, so there is nothing to finish.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # What is imported stays. Searched for garbage again and again meanwhile,
    # it takes a tenth longer until an instance serves.
    gc.disable()

    from greengagelb.platform import process  # noqa: PLC0415

    return process.main()


if __name__ == '__main__':
    sys.exit(main())
