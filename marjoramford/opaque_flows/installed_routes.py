"""The routes in force, and the earlier tables from which followers get deltas.

Load pattern: routes change in quick succession and reach an entry VM from the platform and from
peers, in part late or without the limits of cold servers. The newest table stays in force.
"""

import logging

from ..shared.logs import LogEvent, log_event
from .routes import RouteChanges, RouteHistory, RouteTable

logger = logging.getLogger(__name__)

# Route tables kept to compute deltas for followers that are behind; a burst of changes is shorter.
MAX_ROUTE_TABLES = 32


class InstalledRoutes:
    """The route table in force.

    Attributes:
        history: the newest tables.
    """

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._are_limits_known = True
        self.history = RouteHistory(MAX_ROUTE_TABLES)

    @property
    def table(self) -> RouteTable | None:
        """The routes in force; None before the first table was read."""
        return self._table

    @property
    def are_limits_known(self) -> bool:
        """Whether the routes in force came with their limits for cold servers, if they have any."""
        return self._are_limits_known

    def warmup_limit(self, service: str) -> float:
        """Returns the flows per second that may open at a cold server; 0 if there is no limit."""
        return self._table.warmup_limit(service) if self._table else 0.0

    def apply(self, table: RouteTable, has_limits: bool = True) -> None:
        """Puts a route table in force unless one of the same or a newer version already is.

        A table of the same version from a newer era replaces the one in force: the operator may
        have written other content under that version after the platform was restored. A lower
        version of a newer era does not: routes in force stay until the platform holds a version at
        least as new. While the limits of cold servers are not known, a table that has them also
        replaces one of the same version and era.

        Args:
            table: the routes.
            has_limits: whether the table holds the limits; entry VMs of older builds drop them.
        """
        current = self._table
        if current is not None and table.order <= current.order:
            adds_limits = has_limits and not self._are_limits_known
            if not adds_limits or table.order < current.order:
                return
        self._table = table
        self._are_limits_known = has_limits
        self.history.add(table)
        rewritten = current is not None and current.version == table.version
        if rewritten and current.has_content_of(table):
            return
        log_event(
            logger,
            LogEvent.ROUTES_APPLIED,
            version=table.version,
            era=table.era,
            routes=len(table),
        )

    def apply_changes(self, changes: RouteChanges, has_limits: bool = True) -> None:
        """Applies a delta or a whole table of routes.

        A delta whose base is not the version in force is ignored.

        Args:
            changes: the delta or table.
            has_limits: whether the sender knows limits of cold servers.
        """
        current = self._table
        if changes.base == 0:
            limits = changes.warmup_limits or ()
            table = RouteTable(
                changes.version, changes.routes, changes.idle_timeout, changes.era, limits
            )
            self.apply(table, has_limits)
        elif current is not None and current.order == (changes.base, changes.base_era):
            # Without limits of its own, a delta keeps those of its base.
            is_complete = self._are_limits_known or changes.warmup_limits is not None
            self.apply(current.with_changes(changes), has_limits and is_complete)
