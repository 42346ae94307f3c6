"""A retry budget: retries are a fraction of successes, so that they can't amplify an overload.

"Handling Overload" in "Site Reliability Engineering" (Beyer et al., 2016) describes the client's
budget of retries as a ratio of its requests; this is the token-bucket form of it.
"""

from __future__ import annotations

from typing import final

RETRIES_PER_SUCCESS = 0.1
MOST_SAVED_RETRIES = 10.0
RETRIES_AT_START = 3.0


@final
class RetryBudget:
    """Allows one retry for every ten successes, saved up to a bound.

    :param per_success: retries earned by a success.
    :param most: retries that can be saved up.
    """

    def __init__(
        self, *, per_success: float = RETRIES_PER_SUCCESS, most: float = MOST_SAVED_RETRIES
    ) -> None:
        self._per_success = per_success
        self._most = most
        self._saved = min(RETRIES_AT_START, most)
        self.refused = 0

    def succeeded(self) -> None:
        """Take in that a call succeeded."""
        self._saved = min(self._most, self._saved + self._per_success)

    def allow(self) -> bool:
        """Spend one retry if there is one; ``False`` means: report the failure instead."""
        if self._saved < 1.0:
            self.refused += 1
            return False
        self._saved -= 1.0
        return True
