import pytest

from bluebellyoke.settings import SettingsError, load_settings

VALID = """
[cell]
name = "c"

[instance]
name = "a1"
data_centre = "dc1"
address = "10.0.0.1"
http_port = 8001
peer_port = 8002
seeds = ["10.0.0.1:8002"]
"""


@pytest.fixture
def load(tmp_path):
    def load_text(text):
        path = tmp_path / "instance.toml"
        path.write_text(text)
        return load_settings(path)

    return load_text


def test_missing_keys_get_defaults(load):
    settings = load(VALID)
    assert settings.cell.voters == 3
    assert settings.instance.data_folder is None


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('name = "c"', 'name = "c"\nvotes = 3', "`cell.votes` is unknown"),
        ('address = "10.0.0.1"', 'address = "host-1"', "is not an IP address"),
        ("http_port = 8001", "", "`instance.http_port` is missing"),
        ('"10.0.0.1:8002"', '"10.0.0.1"', "write IP:PORT"),
        ('name = "c"', 'name = "c"\nvoters = 4', "write an odd one"),
        ("[cell]", "[cell", "is not valid TOML"),
    ],
)
def test_error_names_file_key_and_remedy(load, old, new, expected):
    with pytest.raises(SettingsError) as caught:
        load(VALID.replace(old, new, 1))
    assert "instance.toml" in str(caught.value)
    assert expected in str(caught.value)


def test_all_errors_are_reported(load):
    text = VALID.replace("8001", "0").replace("8002\n", "70000\n")
    with pytest.raises(SettingsError) as caught:
        load(text)
    assert len(caught.value.errors) == 2
