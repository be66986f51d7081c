from pathlib import Path

import pytest

from bluebellyoke.platform.settings import read_settings, translate_settings
from bluebellyoke.settings import SettingsError

TEXT = """
Node = "front-my-west-a-1"
Ip = "10.1.0.13"
Zone = "my-west-a"
PortRange = [7720,7735]
Seeds = ["10.1.0.13:8166","10.2.0.30:8166","10.3.0.36:8166"]
Bootstrap = true
DataDir = "/data/my-front"
Advisor = "10.200.1.9:8169"
NewField = 7
[Listen]
Front = "10.1.0.13:8161"
Ready = "10.1.0.13:8167"
Control = "10.1.0.13:8166"
[FaultTolerance]
Machines = 1
[Bounds]
GraceS = 6
MaxHoldMs = 6000
"""


def write(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return path


def test_settings_are_translated(tmp_path):
    settings = translate_settings(read_settings(write(tmp_path, TEXT)))
    instance = settings.instance
    assert (instance.address, instance.peer_port, instance.http_port) == (
        "10.1.0.13",
        7720,
        7721,
    )
    assert instance.seeds == ("10.1.0.13:7720", "10.2.0.30:7720", "10.3.0.36:7720")
    assert (instance.founder, instance.data_folder) == (True, Path("/data/my-front"))
    assert settings.cell.voters == 3
    assert settings.limits.longest_called_worker_lease_s == 6.0


def test_lost_voter_is_replaced_within_the_time_for_a_new_machine(tmp_path):
    """A new machine must vote within 4 s; joining and catching up take part of it."""
    settings = translate_settings(read_settings(write(tmp_path, TEXT)))
    assert settings.cell.replace_after_s <= 2.0


# Guards against workers of different speed that are used as if they were equal.
def test_speed_of_workers_is_learned_in_every_deployment(tmp_path):
    settings = translate_settings(read_settings(write(tmp_path, TEXT)))
    assert settings.dispatch.uneven_workers
    assert not settings.dispatch.urgency


def test_instance_without_data_dir_has_no_data_folder(tmp_path):
    text = TEXT.replace('DataDir = "/data/my-front"', "")
    settings = translate_settings(read_settings(write(tmp_path, text)))
    assert settings.instance.data_folder is None


@pytest.mark.parametrize(
    "text", ["Node = ", TEXT.replace("Ip", "Ipp"), TEXT.replace("10.1.0.13:8166", "x")]
)
def test_invalid_settings_are_refused(tmp_path, text):
    with pytest.raises(SettingsError):
        read_settings(write(tmp_path, text))


#: Settings that have the documented types, but that an instance cannot run with.
UNUSABLE_TEXTS = [
    TEXT.replace('["10.1.0.13:8166","10.2.0.30:8166","10.3.0.36:8166"]', "[]"),
    TEXT.replace('Ip = "10.1.0.13"', 'Ip = "10.1.0.1300"'),
    TEXT.replace("[7720,7735]", "[0,7735]"),
    TEXT.replace("Machines = 1", "Machines = 9"),
    TEXT.replace("GraceS = 6", "GraceS = 0"),
    TEXT.replace("GraceS = 6", "GraceS = inf"),
    TEXT.replace("MaxHoldMs = 6000", "MaxHoldMs = inf"),
    TEXT.replace("MaxHoldMs = 6000", "MaxHoldMs = nan"),
    TEXT.replace("Machines = 1", "Machines = " + "9" * 5000),
    TEXT.replace("NewField = 7", "NewField = " + "[" * 100_000),
    TEXT.replace("10.2.0.30:8166", "10.2.0.30:²").replace("10.", "x."),
    TEXT.replace('["10.1.0.13:8166","10.2.0.30:8166","10.3.0.36:8166"]', '["x", 7]'),
    TEXT.replace('["10.1.0.13:8166","10.2.0.30:8166","10.3.0.36:8166"]', "7"),
    TEXT.replace('Advisor = "10.200.1.9:8169"', 'Advisor = "10.200.1.9:99999"'),
    TEXT.replace('Front = "10.1.0.13:8161"', 'Front = "...:8161"'),
]

#: Entries, in TOML, that name no instance.
ODD_SEEDS = [
    '"x"',
    '"nowhere:8166"',
    '"...:8166"',
    '"10.2.0.30"',
    '"10.2.0.30:²"',
    '"10.2.0.30:99999"',
    '"10.2.0.300:8166"',
    '"10.2.0.30:' + "9" * 5000 + '"',
    "7",
    "[" * 50 + "]" * 50,
    "{ Ip = 7 }",
    "1979-05-27",
]


# Guards against a start that fails with a traceback in place of the key and the file.
@pytest.mark.parametrize("text", UNUSABLE_TEXTS)
def test_unusable_settings_are_refused(tmp_path, text):
    with pytest.raises(SettingsError, match=r"boot\.toml: "):
        read_settings(write(tmp_path, text))


# Guards against a cell that is founded with fewer voters than the file lists.
def test_instance_with_an_odd_seed_does_not_found_a_cell(tmp_path):
    text = TEXT.replace("10.2.0.30:8166", "10.2.0.30:99999")
    instance = translate_settings(read_settings(write(tmp_path, text))).instance
    assert instance.seeds == ("10.1.0.13:7720", "10.3.0.36:7720")
    assert not instance.founder


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "none.toml")


# Guards against another order in deployments that have not asked for it, and against
# refusals, which keep jobs out that would have run.
@pytest.mark.parametrize(
    ("line", "expected"),
    [("", False), ('Contracts = ["other"]', False), ('Contracts = ["pressure"]', True)],
)
def test_urgency_is_in_use_where_the_deployment_calls_for_it(tmp_path, line, expected):
    text = TEXT.replace("NewField = 7", line)
    settings = translate_settings(read_settings(write(tmp_path, text)))
    assert settings.dispatch.urgency is expected
    assert not settings.dispatch.admission


# Guards against long-running tasks that miss their targets since nothing is paced.
@pytest.mark.parametrize(
    ("line", "expected"), [("", False), ('Contracts = ["base", "sharing"]', True)]
)
def test_pacing_is_in_use_where_tasks_share_workers(tmp_path, line, expected):
    text = TEXT.replace("NewField = 7", line)
    settings = translate_settings(read_settings(write(tmp_path, text)))
    assert settings.dispatch.interference is expected


# Guards against limits on clients that do not follow from the machine.
def test_size_of_the_machine_is_translated(tmp_path):
    text = TEXT + "[Limits]\nMemoryMb = 300\nMaxFds = 4100\nOther = 1\n"
    limits = translate_settings(read_settings(write(tmp_path, text))).limits
    assert (limits.memory_mb, limits.max_descriptors) == (300, 4100)
    limits = translate_settings(read_settings(write(tmp_path, TEXT))).limits
    assert (limits.memory_mb, limits.max_descriptors) == (512, 4096)
