"""Replicas that lose their disk join again, whatever their seeds are.

Instances are real processes. Each test loses a second disk at the end: what was
accepted survives it only if the first one was replaced.
"""

import shutil

import pytest

from standins.cell import wait_until
from tests.integration.deployment import CONFIG, STEPS, WAIT_S, create_job, request_json

JOB_ID = "00000000000000f1"

#: Instance with a disk that takes the place of a lost one at another address.
NEWCOMER = 5

#: Instance without a disk, and the address of none.
DISKLESS = 4
ABSENT = 9


def lose_disk(deployment, number):
    deployment.kill(number)
    shutil.rmtree(deployment.folder / f"data-{number}")


def has_joined(deployment, number):
    """Return whether an instance's replica is one of three voters, by its own log."""
    url = f"http://{deployment.get_ip(number)}:{deployment.peer_port + 1}/v1/instance"
    status, value = request_json("GET", url)
    if status != 200:
        return False
    replica = value["replica"]
    is_voter = f"i{number}" in replica["voters"]
    return is_voter and len(replica["voters"]) == 3 and not replica["learners"]


def is_configuration_read(deployment):
    for number in deployment.processes:
        url = f"http://{deployment.get_ip(number)}:{deployment.control_port}/-/config"
        if request_json("GET", url) == (200, CONFIG):
            return True
    return False


# Guards against LOST of review/1: a replica asked its seeds only, and none of them was
# the leader, so that it never joined and the next loss of a disk ended the cell.
@pytest.mark.parametrize(
    ("seed_kind", "is_at_old_address"),
    [
        ("follower", True),
        ("follower", False),
        ("diskless", True),
        ("diskless", False),
        # The leader still sends heartbeats to the old address.
        ("absent", True),
    ],
)
def test_replica_joins_through_seeds_without_the_leader(
    deployment, seed_kind, is_at_old_address
):
    assert deployment.call_queue("POST", JOB_ID, create_job(STEPS))[0] == 200
    leader = deployment.find_leader()
    lost, follower = (number for number in (1, 2, 3) if number != leader)
    seeds = {"follower": follower, "diskless": DISKLESS, "absent": ABSENT}
    lose_disk(deployment, lost)
    newcomer = lost if is_at_old_address else NEWCOMER
    deployment.start(
        newcomer, has_disk=True, bootstrap=False, seeds=(seeds[seed_kind],)
    )
    wait_until(lambda: has_joined(deployment, newcomer), WAIT_S, "the replica to vote")
    lose_disk(deployment, follower)
    wait_until(lambda: is_configuration_read(deployment), WAIT_S, "the configuration")
    wait_until(lambda: deployment.find_state(JOB_ID) == "completed", WAIT_S, "the job")
    deployment.check_ledgers()


# Guards against an instance that never finds the cell: its only seed is itself, and the
# replicas would tell it where they are, but had not read that it is a seed now.
def test_replicas_read_changed_seeds_without_a_signal(deployment):
    for number in (1, 2, 3):
        deployment.write_settings(number, has_disk=True, seeds=(DISKLESS,))
    deployment.kill(DISKLESS)
    deployment.start(DISKLESS, has_disk=False, bootstrap=False, seeds=(DISKLESS,))
    wait_until(lambda: deployment.is_ready(DISKLESS), WAIT_S, "the instance")
