"""Tasks that run for the lifetime of their process."""

import logging
from collections.abc import Callable, Coroutine

from .logs import LogEvent, log_event

logger = logging.getLogger(__name__)


async def run_guarded(job: Coroutine, stop: Callable[[], object]) -> None:
    """Runs a job; if it fails, logs the exception and calls `stop`.

    Every job is essential, so the process must not continue without one.
    """
    try:
        await job
    except Exception:
        log_event(logger, LogEvent.TASK_FAILED, task=job.__qualname__)
        logger.exception("task failed")
        stop()
