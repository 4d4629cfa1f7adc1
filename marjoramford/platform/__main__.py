"""Entry point of an entry VM on the platform."""

import os
import signal
import sys


def main() -> None:
    """Serves until the graceful shutdown is complete.

    Signals may arrive during the imports. Until `PacketVm.run` installs its handlers, SIGHUP is
    ignored, because the settings are read only after the imports, and SIGTERM exits at once,
    because nothing is served yet; raising an exception instead could crash the interpreter while it
    imports an extension module.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    disable_tls()
    from .entry_points import run_entry_vm

    sys.exit(run_entry_vm())


def disable_tls() -> None:
    """Prevents asyncio from importing `ssl`, which is not used here and would delay every start."""
    sys.modules["ssl"] = None


if __name__ == "__main__":
    main()
