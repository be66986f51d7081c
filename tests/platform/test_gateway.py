"""Reload of the settings by the platform's adapter."""

import logging

import pytest

from bluebellyoke.platform.gateway import PlatformGateway
from bluebellyoke.platform.settings import read_settings
from tests.platform.test_settings import ODD_SEEDS, TEXT, UNUSABLE_TEXTS, write


@pytest.fixture
def gateway(tmp_path):
    path = write(tmp_path, TEXT)
    return PlatformGateway(read_settings(path), path)


def test_reload_returns_the_changed_settings(gateway, tmp_path):
    write(tmp_path, TEXT.replace('"10.2.0.30:8166",', ""))
    assert gateway.reload_settings().instance.seeds == (
        "10.1.0.13:7720",
        "10.3.0.36:7720",
    )


# Guards against the end of an instance whose settings file was changed to values that
# have the documented types but are not valid, such as an empty list of seeds.
@pytest.mark.parametrize("text", ["Node = ", *UNUSABLE_TEXTS])
def test_reload_of_unusable_settings_keeps_the_old_ones(
    gateway, tmp_path, caplog, text
):
    write(tmp_path, text)
    with caplog.at_level(logging.ERROR, "bluebellyoke.platform"):
        assert gateway.reload_settings() is None
    (record,) = caplog.records
    assert "the old ones stay in effect" in record.message
    assert "boot.toml" in record.fault


# Guards against the end of an instance, or an end of the following of the file, because
# of one odd seed: the sound seeds beside it must be used.
@pytest.mark.parametrize("odd", ODD_SEEDS)
def test_reload_leaves_out_only_the_odd_seed(gateway, tmp_path, caplog, odd):
    write(tmp_path, TEXT.replace('"10.2.0.30:8166"', odd))
    with caplog.at_level(logging.WARNING, "bluebellyoke.platform"):
        seeds = gateway.reload_settings().instance.seeds
    assert seeds == ("10.1.0.13:7720", "10.3.0.36:7720")
    assert "left out" in caplog.records[0].message
    write(tmp_path, TEXT)
    assert len(gateway.reload_settings().instance.seeds) == 3


def test_unchanged_settings_are_neither_returned_nor_reported_again(
    gateway, tmp_path, caplog
):
    assert gateway.reload_settings() is not None
    assert gateway.reload_settings() is None
    (tmp_path / "boot.toml").unlink()
    with caplog.at_level(logging.ERROR, "bluebellyoke.platform"):
        assert [gateway.reload_settings() for _ in range(3)] == [None] * 3
    assert len(caplog.records) == 1
    write(tmp_path, TEXT)
    assert gateway.reload_settings() is not None
