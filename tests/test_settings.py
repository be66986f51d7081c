import pytest

from bluebellyoke.settings import SettingsError, load_settings

GOOD = """
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


def test_good_file_gets_defaults(load):
    settings = load(GOOD)
    assert settings.cell.voters == 3
    assert settings.instance.data_folder is None


@pytest.mark.parametrize(
    ("old", "new", "wanted"),
    [
        ('name = "c"', 'name = "c"\nvotes = 3', "`cell.votes` is unknown"),
        ('address = "10.0.0.1"', 'address = "host-1"', "is not an IP number"),
        ("http_port = 8001", "", "`instance.http_port` is missing"),
        ('"10.0.0.1:8002"', '"10.0.0.1"', "write IP:PORT"),
        ('name = "c"', 'name = "c"\nvoters = 4', "write an odd one"),
        ("[cell]", "[cell", "is no TOML"),
    ],
)
def test_fault_names_file_key_and_remedy(load, old, new, wanted):
    with pytest.raises(SettingsError) as caught:
        load(GOOD.replace(old, new, 1))
    assert "instance.toml" in str(caught.value)
    assert wanted in str(caught.value)


def test_every_fault_is_named(load):
    text = GOOD.replace("8001", "0").replace("8002\n", "70000\n")
    with pytest.raises(SettingsError) as caught:
        load(text)
    assert len(caught.value.faults) == 2
