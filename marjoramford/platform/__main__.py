"""Entry point of an entry VM on the platform.

Run by path rather than by `python -m`, which imports more before the first line here.
"""

import gc
import os
import signal
import sys
from importlib.machinery import PathFinder
from types import ModuleType

# Used only to describe errors and to inspect functions, but slow to import.
RARELY_USED_MODULES = ("inspect", "traceback")


def main() -> None:
    """Serves until the graceful shutdown is complete.

    Signals may arrive during the imports. SIGHUP is ignored until the settings are read. SIGTERM
    exits at once until `PacketVm.run` installs its handlers, because this entry VM is not ready
    before; raising an exception instead could crash the interpreter while it imports an extension
    module.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing that is imported becomes garbage.
    gc.disable()
    for name in RARELY_USED_MODULES:
        defer_import(name)
    from marjoramford.platform.entry_points import run_entry_vm

    sys.exit(run_entry_vm())


class DeferredModule(ModuleType):
    """A module that is loaded when one of its attributes is first used.

    `importlib.util.LazyLoader` loads it as soon as it is imported a second time.
    """

    def __getattr__(self, name: str) -> object:
        self.__class__ = ModuleType
        self.__spec__.loader.exec_module(self)
        return getattr(self, name)


def defer_import(name: str) -> None:
    """Makes imports of a module load it only once it is used."""
    module = DeferredModule(name)
    module.__spec__ = PathFinder.find_spec(name)
    sys.modules[name] = module


if __name__ == "__main__":
    main()
