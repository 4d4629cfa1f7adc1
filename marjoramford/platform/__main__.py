"""Entry point of an entry VM on the platform."""

import signal
import sys


def main() -> None:
    """Serves until the planned stop is complete.

    Signals may come during the imports. Settings are read after them, so a change needs nothing; a
    stop before anything is served is complete at once.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .entry_points import run_entry_vm

    sys.exit(run_entry_vm())


if __name__ == "__main__":
    main()
