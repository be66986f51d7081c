import pytest

from bluebellyoke.leader.leases import LeaseTable


@pytest.mark.parametrize("rate", [0.95, 1.0, 1.05])
def test_holder_ends_first_whatever_its_clock(rate):
    leases = LeaseTable(duration_s=6.0)
    sent_at = 100.0
    leases.renew("h", sent_at)
    holder_ends = sent_at + 6.0 / rate
    assert leases.is_live("h", holder_ends)
    assert leases.pop_expired(holder_ends) == []


def test_expired_lease_is_taken_once():
    leases = LeaseTable(duration_s=1.0, grace_s=0.5)
    leases.renew("h", 0.0)
    assert not leases.is_live("h", 1.7)
    assert leases.pop_expired(1.7) == ["h"]
    assert leases.pop_expired(9.0) == []
    assert "h" not in leases
