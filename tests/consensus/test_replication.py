"""Entries resent to a follower that reports a log mismatch."""

import pytest

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.log import EntryLog
from bluebellyoke.consensus.replication import LogReplicator

ENTRY_COUNT = 100


@pytest.fixture
def sent():
    return []


@pytest.fixture
def replicator(sent):
    """Replicator that has sent every entry to a partitioned follower."""
    log = EntryLog(messages.SnapshotMeta())
    replicator = LogReplicator(
        replica="r1",
        term=1,
        log=log,
        snapshots=None,
        send=lambda target, message: sent.append(message),
    )
    member = messages.Member("r2", "i2", "10.0.0.2", 1, "d")
    replicator.track(messages.Membership({"r2": member}), 0.0)
    for number in range(ENTRY_COUNT):
        log.append(messages.Entry(number + 1, 1, messages.EntryKind.COMMANDS, b"x"))
        replicator.send_to("r2", 0, float(number), heartbeat=False)
    sent.clear()
    return replicator


def receive_reply(replicator, reply, now):
    replicator.handle_append_reply("r2", reply, now)
    replicator.send_to("r2", 0, now, heartbeat=False)


def test_many_rejections_of_old_messages_cause_one_resend(replicator, sent):
    for number in range(ENTRY_COUNT):
        receive_reply(
            replicator, messages.AppendReply(1, False, 10, float(number)), 200.0
        )
    assert sum(len(message.entries) for message in sent) == ENTRY_COUNT - 10


def test_entries_lost_after_a_resend_are_resent(replicator, sent):
    receive_reply(replicator, messages.AppendReply(1, False, 10, 99.0), 200.0)
    receive_reply(replicator, messages.AppendReply(1, False, 10, 201.0), 202.0)
    assert sum(len(message.entries) for message in sent) == 2 * (ENTRY_COUNT - 10)


def test_mismatch_at_a_lower_index_causes_immediate_resend(replicator, sent):
    receive_reply(replicator, messages.AppendReply(1, False, 50, 99.0), 200.0)
    receive_reply(replicator, messages.AppendReply(1, False, 10, 200.0), 200.0)
    assert sent[-1].entries[0].index == 11
