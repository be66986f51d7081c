"""Tests of the address selection in the search for the leader."""

from bluebellyoke.instance.directory import ReplicaDirectory
from bluebellyoke.instance.leader_search import LeaderSearch


def create_search(*seeds):
    return LeaderSearch(directory=ReplicaDirectory(seeds=seeds))


def test_silent_leader_is_skipped_while_others_are_tried():
    search = create_search("a", "b", "c")
    search.record_connected("b")
    search.record_silent("b")
    assert {search.choose_address() for _ in range(4)} == {"a", "c"}


def test_silent_leader_is_skipped_even_if_a_redirect_names_it():
    search = create_search("a", "b", "c")
    search.record_silent("b")
    search.set_leader_hint("b")
    assert search.choose_address() != "b"


def test_silent_leader_is_tried_again_after_two_rounds():
    search = create_search("a", "b", "c")
    search.record_silent("b")
    assert "b" in {search.choose_address() for _ in range(7)}


def test_leader_is_tried_first_but_only_once_after_a_disconnect():
    search = create_search("a", "b", "c")
    search.record_connected("c")
    assert search.choose_address() == "c"
    assert {search.choose_address() for _ in range(3)} == {"a", "b", "c"}


def test_only_known_address_is_tried_even_if_it_was_silent():
    search = create_search("a")
    search.record_silent("a")
    assert search.choose_address() == "a"
