"""Settings: loading and validating the file, and rendering the reference."""

import tomllib
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from trefoilpin.defaults import DEFAULTS, Setting

__all__ = ["DEFAULTS", "Setting", "SettingError", "check", "load", "render"]


class SettingError(NamedTuple):
    """An invalid setting.

    Attributes
    ----------
    name : str
    value : object
    allowed : str
    """

    name: str
    value: Any
    allowed: str

    def __str__(self):
        """Return the error message shown to operators."""
        return f"setting {self.name!r} is {self.value!r}; it must be {self.allowed}"


def load(path):
    """Load and validate a TOML file.

    Parameters
    ----------
    path : str

    Returns
    -------
    Result
        The settings by name, or a tuple of ``SettingError``.
    """
    try:
        with open(path, "rb") as file:
            tables = tomllib.load(file)
    except OSError as error:
        reason = f"readable: {error.strerror}"
        return Failure((SettingError("settings file", path, reason),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure((SettingError("settings file", path, f"valid TOML: {error}"),))
    return check(tables)


def flatten(tables):
    """Return the values of nested TOML tables by ``section.name``."""
    value_by_name = {}
    for section, table in tables.items():
        if not isinstance(table, dict):
            value_by_name[section] = table
            continue
        for name, value in table.items():
            value_by_name[f"{section}.{name}"] = value
    return value_by_name


def check(tables) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    """Validate settings and fill in defaults.

    Parameters
    ----------
    tables : dict
        Tables as parsed from the TOML file.

    Returns
    -------
    Result
        The settings by name, or a tuple of all ``SettingError`` records.
    """
    value_by_setting = flatten(tables)
    value_by_name = {}
    errors = []
    for setting in DEFAULTS:
        value = value_by_setting.pop(setting.name, setting.default)
        if value is None or not setting.is_valid(value):
            errors.append(SettingError(setting.name, value, setting.allowed))
            continue
        value_by_name[setting.name] = value
    for name, value in value_by_setting.items():
        errors.append(SettingError(name, value, "removed: no such setting exists"))
    if errors:
        return Failure(tuple(errors))
    return Success(value_by_name)


def render():
    """Return the settings reference as Markdown."""
    lines = ["# Settings", "", "| setting | default | allowed | meaning |"]
    lines.append("|---|---|---|---|")
    for setting in DEFAULTS:
        default = "must be given" if setting.default is None else repr(setting.default)
        row = (f"`{setting.name}`", default, setting.allowed, setting.meaning)
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines) + "\n"
