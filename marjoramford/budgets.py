"""Budgets that refill with time: bytes for control, retries as a share of fresh work."""


class TokenBucket:
    """An amount that refills at a rate up to a capacity."""

    def __init__(self, rate_per_second: float, capacity: float, now: float):
        self._rate = rate_per_second
        self._capacity = capacity
        self._level = capacity
        self._refilled_at = now

    def level(self, now: float) -> float:
        """Returns the amount available at `now`."""
        if now > self._refilled_at:
            refill = (now - self._refilled_at) * self._rate
            self._level = min(self._capacity, self._level + refill)
            self._refilled_at = now
        return self._level

    def try_take(self, amount: float, now: float) -> bool:
        """Takes an amount if it is there; tells whether it was."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Takes an amount that is already spent, below zero if need be."""
        self.level(now)
        self._level -= amount


class RetryBudget:
    """Allows retries up to a share of fresh work, so that retries cannot multiply an overload."""

    def __init__(self, share: float, capacity: float):
        self._share = share
        self._capacity = capacity
        self._level = capacity

    def deposit(self) -> None:
        """Counts one fresh piece of work."""
        self._level = min(self._capacity, self._level + self._share)

    def try_spend(self) -> bool:
        """Takes one retry if there is one; tells whether there was."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
