"""Token bucket for control traffic, and retry budget as a share of new requests."""


class TokenBucket:
    """Token bucket that refills at a constant rate up to a capacity."""

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
        """Takes an amount if it is available; returns whether it was."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Takes an amount that has already been used; the level may become negative."""
        self.level(now)
        self._level -= amount


class RetryBudget:
    """Limits retries to a share of new requests, so that retries do not amplify an overload."""

    def __init__(self, share: float, capacity: float):
        self._share = share
        self._capacity = capacity
        self._level = capacity

    def deposit(self) -> None:
        """Adds the share of one new request to the budget."""
        self._level = min(self._capacity, self._level + self._share)

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns False if the budget is used up."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
