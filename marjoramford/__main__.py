"""Entry point of the command line."""

import sys

import fire
import fire.core

from .commands import Commands
from .deferrals import run_deferred


def main() -> None:
    """Runs the command that the arguments of the process name."""
    fire.core.Display = lambda lines, out: print(*lines, sep="\n", file=out)
    try:
        fire.Fire(Commands(), name="marjoramford")
        run_deferred()
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
