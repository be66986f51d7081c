"""What a leader sends to a follower that lacks entries."""

import pytest

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.log import EntryLog
from bluebellyoke.consensus.replication import LogReplicator

ENTRIES = 100


@pytest.fixture
def sent():
    return []


@pytest.fixture
def followers(sent):
    """A leader that has sent each entry to a follower that was cut off."""
    log = EntryLog(m.SnapshotMeta())
    followers = LogReplicator(
        replica="r1",
        term=1,
        log=log,
        snapshots=None,
        send=lambda target, message: sent.append(message),
    )
    member = m.Member("r2", "i2", "10.0.0.2", 1, "d")
    followers.track(m.Membership({"r2": member}), 0.0)
    for number in range(ENTRIES):
        log.append(m.Entry(number + 1, 1, m.EntryKind.COMMANDS, b"x"))
        followers.send_to("r2", 0, float(number), heartbeat=False)
    sent.clear()
    return followers


def answer(followers, reply, now):
    followers.handle_append_reply("r2", reply, now)
    followers.send_to("r2", 0, now, heartbeat=False)


def test_many_answers_to_old_messages_cause_one_resend(followers, sent):
    for number in range(ENTRIES):
        answer(followers, m.AppendReply(1, False, 10, float(number)), 200.0)
    assert sum(len(message.entries) for message in sent) == ENTRIES - 10


def test_entries_that_were_lost_again_are_sent_again(followers, sent):
    answer(followers, m.AppendReply(1, False, 10, 99.0), 200.0)
    answer(followers, m.AppendReply(1, False, 10, 201.0), 202.0)
    assert sum(len(message.entries) for message in sent) == 2 * (ENTRIES - 10)


def test_mismatch_further_back_is_followed_at_once(followers, sent):
    answer(followers, m.AppendReply(1, False, 50, 99.0), 200.0)
    answer(followers, m.AppendReply(1, False, 10, 200.0), 200.0)
    assert sent[-1].entries[0].index == 11
