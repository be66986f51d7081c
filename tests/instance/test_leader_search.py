"""Search for the leader."""

from bluebellyoke.instance.leader_search import LeaderSearch


def test_a_silent_leader_is_left_out_while_others_are_tried():
    search = LeaderSearch(seeds=("a", "b", "c"))
    search.note_reached("b")
    search.note_silent("b")
    assert {search.choose() for _ in range(4)} == {"a", "c"}


def test_a_silent_leader_that_others_still_name_is_left_out():
    search = LeaderSearch(seeds=("a", "b", "c"))
    search.note_silent("b")
    search.note_hint("b")
    assert search.choose() != "b"


def test_a_silent_leader_is_tried_again_after_two_rounds():
    search = LeaderSearch(seeds=("a", "b", "c"))
    search.note_silent("b")
    assert "b" in {search.choose() for _ in range(7)}


def test_a_broken_stream_leads_back_to_the_same_leader_once():
    search = LeaderSearch(seeds=("a", "b", "c"))
    search.note_reached("c")
    assert search.choose() == "c"
    assert {search.choose() for _ in range(3)} == {"a", "b", "c"}


def test_the_only_known_address_is_tried_though_it_was_silent():
    search = LeaderSearch(seeds=("a",))
    search.note_silent("a")
    assert search.choose() == "a"
