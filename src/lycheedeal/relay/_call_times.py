"""Times that calls to the platform's store may take."""

from typing import Final

# Longest wait of a watch without changes. Its empty answer confirms the content,
# so the wait is half of the 3 s in which a change must be in force everywhere.
WATCH_WAIT_SECONDS: Final = 1.5
# Shortest wait of a watch, after an answer that took long.
MIN_WAIT_SECONDS: Final = 0.1
# Time beyond its wait after which the front end reports a watch as failed unless its
# answer has begun, and time between two parts of the answer. The store answers in 4 ms;
# how long a whole answer takes depends on its length and on the link.
ANSWER_TIMEOUT_SECONDS: Final = 0.4
# The same times of a page of a list. The store may be sixty times slower, and hosts
# that all start at once share its bandwidth.
PAGE_TIMEOUT_SECONDS: Final = 1.0
