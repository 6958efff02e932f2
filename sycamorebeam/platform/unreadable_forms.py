"""Logs header values that cannot be read, once for each distinct form."""

import re

from sycamorebeam import telemetry

# A target of another version has one or two forms; more come from a fault.
MAX_FORMS = 16
MAX_FORM_LENGTH = 64
_DIGITS = re.compile('[0-9]+')


class UnreadableForms:
    """Logs the first value of each form; values of a form differ in digits.

    It is designed for targets that send an unreadable value with every
    answer, so the number of lines is bounded.
    """

    def __init__(self, event: str) -> None:
        self._event = event
        self._seen: set[str] = set()

    def log(self, text: str) -> None:
        """Log a value unless its form has been logged."""
        form = _DIGITS.sub('0', text[:MAX_FORM_LENGTH])
        if form in self._seen or len(self._seen) >= MAX_FORMS:
            return
        self._seen.add(form)
        telemetry.log_event(
            self._event, 'WARNING', text=text[:MAX_FORM_LENGTH]
        )
