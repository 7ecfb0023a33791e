"""Checks of the fields of asks and grants, which other hosts write."""

import ipaddress

__all__ = [
    "check_address",
    "check_amount",
    "check_length",
    "check_number",
    "check_request_number",
    "check_text",
    "is_address",
]

MAX_TEXT = 300
MAX_REQUEST_NUMBER = 1 << 53


def check_text(text):
    """Raise ``ValueError`` for a text that is missing or too long."""
    if text is None or len(text) > MAX_TEXT:
        raise ValueError("a name in an ask or a grant is missing or too long")


def is_address(text):
    """Tell whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def check_address(text):
    """Raise ``ValueError`` for a text that is neither an IP address nor empty."""
    if text != "" and not is_address(text):
        raise ValueError("the holder named in a grant is no address")


def check_number(number, most):
    """Raise ``ValueError`` for a number that is missing or out of range."""
    if number is None or not 0 <= number <= most:
        raise ValueError("a number in an ask or a grant is missing or out of range")


# The same range holds for amounts that aren't whole; no NaN lies in it.
check_amount = check_number


def check_request_number(number):
    """Raise ``ValueError`` unless asks may bear a number."""
    check_number(number, MAX_REQUEST_NUMBER)


def check_length(items, most):
    """Raise ``ValueError`` for a list that is missing or too long."""
    if items is None or len(items) > most:
        raise ValueError("an ask or a grant is too long")
