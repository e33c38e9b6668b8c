"""Times that calls to the platform's store may take."""

from typing import Final

# Longest wait of a watch without changes. Its empty answer confirms the content,
# so the wait is half of the 3 s in which a change must be in force everywhere.
WATCH_WAIT_SECONDS: Final = 1.5
# Time that a watch may take beyond its wait before the front end reports it as
# failed. The store answers in 4 ms.
ANSWER_TIMEOUT_SECONDS: Final = 0.4
# Time that a page of a list may take before the front end reports it as failed. The
# store may be sixty times slower, and hosts that all start at once share its bandwidth.
PAGE_TIMEOUT_SECONDS: Final = 1.0
