"""Entry point of an entry VM on the platform."""

import os
import signal
import sys


def main() -> None:
    """Serves until the planned stop is complete.

    Signals may come during the imports. Settings are read after them, so a change needs nothing; a
    stop before anything is served is complete at once. It must not be an exception, which crashes
    the interpreter while an extension module is being imported.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    disable_tls()
    from .entry_points import run_entry_vm

    sys.exit(run_entry_vm())


def disable_tls() -> None:
    """Makes asyncio do without TLS, which nothing here speaks: its import delays every start."""
    sys.modules["ssl"] = None


if __name__ == "__main__":
    main()
