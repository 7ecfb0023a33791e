"""Validation of settings and its error messages."""

from returns.result import Failure

from trefoilpin import settings

REQUIRED = {
    "host": {
        "name": "h1",
        "zone": "a",
        "caller_address": "127.0.0.1:8080",
        "peer_address": "127.0.0.1:8081",
        "admin_address": "127.0.0.1:8082",
    },
    "store": {"addresses": ["127.0.0.1:9000"]},
    "peers": {"secret": "a secret of the fleet's own"},
}


def required_settings():
    sections = {setting.name.partition(".")[0] for setting in settings.DEFAULTS}
    return {name: dict(table) for name, table in REQUIRED.items() if name in sections}


def test_missing_settings_get_defaults():
    checked = settings.check(required_settings()).unwrap()
    assert checked["log.format"] == "text"
    assert checked["host.zone"] == "a"


def test_each_error_contains_setting_value_and_allowed_values():
    tables = required_settings()
    tables["host"]["zone"] = ""
    tables["log"] = {"format": "xml", "colour": True}
    tables["store"]["addresses"] = ["localhost:1"]
    errors = settings.check(tables).failure()
    text = "\n".join(str(error) for error in errors)
    assert "'host.zone' is ''" in text
    assert "'log.format' is 'xml'; it must be 'text' or 'json'" in text
    assert "'store.addresses' is ['localhost:1']" in text
    assert "'log.colour'" in text and "no such setting" in text


def test_unreadable_file_is_an_error(tmp_path):
    assert isinstance(settings.load(str(tmp_path / "none.toml")), Failure)
    path = tmp_path / "bad.toml"
    path.write_bytes(b"\xff\xfe=")
    assert "valid TOML" in str(settings.load(str(path)).failure()[0])


def test_defaults_are_valid():
    for setting in settings.DEFAULTS:
        assert setting.default is None or setting.is_valid(setting.default)
