"""Finds the extent of values in JSON text without decoding them.

A decoded value can take fifty times the memory of its text, so text that others wrote
is measured before it is decoded. A scan takes time in proportion to the text and almost
no memory, whatever the text contains.

Patterns use possessive quantifiers: none goes back over what it matched.
"""

import re

__all__ = [
    "cut_list",
    "find_end",
    "has_more_containers",
    "has_more_values",
    "walk_table",
]

STRING = rb'"(?:[^"\\]++|\\.)*+"'
PLAIN = rb'[^"\[\]{}]++'
# Containers up to this height are matched at once; higher ones take a step for each
# change of direction.
SHALLOW_LEVELS = 5
CLOSERS_PER_STEP = 64
TOKENS_PER_PART = 4096


def shallow_container(levels):
    """Return the pattern of a list or table that contains others ``levels`` deep."""
    body = rb"(?:%s|%s)*+" % (PLAIN, STRING)
    for _ in range(levels - 1):
        body = rb"(?:%s|%s|[\[{]%s[\]}])*+" % (PLAIN, STRING, body)
    return rb"[\[{]%s[\]}]" % body


FILLER = rb"(?:%s|%s|%s)*+" % (PLAIN, STRING, shallow_container(SHALLOW_LEVELS))
# Strings and what is between them; a part never ends within a string.
PART_PATTERN = re.compile(
    rb'(?:[^"]{1,64}+|%s){1,%d}+' % (STRING, TOKENS_PER_PART), re.DOTALL
)
STRING_PATTERN = re.compile(STRING, re.DOTALL)
SCALAR_PATTERN = re.compile(rb"%s|[^\s,:\[\]{}\"]++" % STRING, re.DOTALL)
SHALLOW_PATTERN = re.compile(shallow_container(SHALLOW_LEVELS), re.DOTALL)
FILLER_PATTERN = re.compile(FILLER, re.DOTALL)
DESCENT_PATTERN = re.compile(rb"(?:[\[{]%s)++" % FILLER, re.DOTALL)
ASCENT_PATTERN = re.compile(
    rb"(?:[\]}]%s){1,%d}+" % (FILLER, CLOSERS_PER_STEP), re.DOTALL
)
CLOSERS_PATTERN = re.compile(rb"[\]}]++")
KEY_PATTERN = re.compile(rb"\s*+(%s)\s*+:\s*+" % STRING, re.DOTALL)
SEPARATOR_PATTERN = re.compile(rb"\s*+([,\]}])\s*+")
SPACE_PATTERN = re.compile(rb"\s*+")


def skeletons(data):
    """Yield the text without its strings, in parts of limited size."""
    for match in PART_PATTERN.finditer(data):
        yield STRING_PATTERN.sub(b"", match.group())


def has_more_values(data, most):
    """Tell whether a JSON text holds more values than a limit."""
    if count_openers(data) + data.count(b",") < most:
        return False
    marks = 0
    for skeleton in skeletons(data):
        marks += count_openers(skeleton) + skeleton.count(b",")
        if marks >= most:
            return True
    return False


def has_more_containers(data, most):
    """Tell whether a JSON text holds more lists and tables than a limit."""
    count = 0
    for skeleton in skeletons(data):
        count += count_openers(skeleton)
        if count > most:
            return True
    return False


def count_openers(data):
    """Return the number of opening brackets."""
    return data.count(b"[") + data.count(b"{")


def depth_change(data):
    """Return by how much the depth differs at the end of a part of a JSON text."""
    change = 0
    for skeleton in skeletons(data):
        closers = skeleton.count(b"]") + skeleton.count(b"}")
        change += count_openers(skeleton) - closers
    return change


def find_end(data, start):
    """Return the end of the value that starts at a position.

    Raises
    ------
    ValueError
        If no complete value starts there.
    """
    match = SHALLOW_PATTERN.match(data, start) or SCALAR_PATTERN.match(data, start)
    if match is not None:
        return match.end()
    depth, position = 0, start
    while True:
        match = DESCENT_PATTERN.match(data, position)
        if match is None and depth > CLOSERS_PER_STEP:
            match = ASCENT_PATTERN.match(data, position)
        if match is not None:
            depth += depth_change(match.group())
            position = match.end()
            continue
        match = CLOSERS_PATTERN.match(data, position) if depth else None
        if match is None:
            raise ValueError("a value is incomplete")
        if match.end() - position >= depth:
            return position + depth
        depth -= match.end() - position
        position = FILLER_PATTERN.match(data, match.end()).end()


def skip_opener(data, start, opener):
    """Return the position after an opening bracket and white space.

    Raises
    ------
    ValueError
        If there is no such bracket.
    """
    position = SPACE_PATTERN.match(data, start).end()
    if data[position : position + 1] != opener:
        raise ValueError(f"there is no {opener.decode()}")
    return SPACE_PATTERN.match(data, position + 1).end()


def skip_separator(data, position, closer):
    """Return whether a list or table goes on, and the position after the separator.

    Raises
    ------
    ValueError
        If there is neither a comma nor the closing bracket.
    """
    match = SEPARATOR_PATTERN.match(data, position)
    if match is None or match.group(1) not in (b",", closer):
        raise ValueError("a separator is missing")
    return match.group(1) == b",", match.end()


def cut_list(data, start):
    """Return the start and end of each value of a list, and the end of the list.

    Raises
    ------
    ValueError
        If the text holds no complete list there.
    """
    extents = []
    position = skip_opener(data, start, b"[")
    has_more = data[position : position + 1] != b"]"
    if not has_more:
        return extents, position + 1
    while has_more:
        end = find_end(data, position)
        extents.append((position, end))
        has_more, position = skip_separator(data, end, b"]")
    return extents, position


def walk_table(data, start, find_value_end=None):
    """Yield the encoded key, and the start and end of the value, of a table's entries.

    Parameters
    ----------
    data : bytes
    start : int
    find_value_end : callable, optional
        ``find_value_end(key, start)`` returns the end of a value; by default the value
        is scanned.

    Raises
    ------
    ValueError
        If the text holds no complete table there.
    """
    position = skip_opener(data, start, b"{")
    has_more = data[position : position + 1] != b"}"
    while has_more:
        match = KEY_PATTERN.match(data, position)
        if match is None:
            raise ValueError("a key is missing")
        key, value_start = match.group(1), match.end()
        if find_value_end is None:
            end = find_end(data, value_start)
        else:
            end = find_value_end(key, value_start)
        yield key, value_start, end
        has_more, position = skip_separator(data, end, b"}")
