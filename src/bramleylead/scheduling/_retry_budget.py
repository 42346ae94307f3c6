"""A retry budget: limits retries to a fraction of successes, so they can't amplify an overload.

"Handling Overload" in "Site Reliability Engineering" (Beyer et al., 2016) describes a client's
retry budget as a ratio of its requests. This is the token-bucket form of it.
"""

from __future__ import annotations

from typing import final

RETRIES_PER_SUCCESS = 0.1
MAX_SAVED_RETRIES = 10.0
INITIAL_RETRIES = 3.0


@final
class RetryBudget:
    """Allows one retry for every ten successes; unused retries are saved up to a limit.

    :param per_success: retries added for each success.
    :param max_saved: maximum number of retries that can be saved.
    """

    def __init__(
        self, *, per_success: float = RETRIES_PER_SUCCESS, max_saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self._per_success = per_success
        self._max_saved = max_saved
        self._saved = min(INITIAL_RETRIES, max_saved)
        self.refused = 0

    def succeeded(self) -> None:
        """Record a successful call."""
        self._saved = min(self._max_saved, self._saved + self._per_success)

    def allow(self) -> bool:
        """Use one retry if there is one; ``False`` means that the call must not be retried."""
        if self._saved < 1.0:
            self.refused += 1
            return False
        self._saved -= 1.0
        return True
