import pytest

from bluebellyoke.leader.leases import LeaseTable


@pytest.mark.parametrize("clock_rate", [0.95, 1.0, 1.05])
def test_lease_expires_first_at_the_holder_despite_clock_drift(clock_rate):
    leases = LeaseTable(duration_s=6.0)
    sent_at = 100.0
    leases.renew("h", sent_at)
    expires_at_holder = sent_at + 6.0 / clock_rate
    assert leases.is_live("h", expires_at_holder)
    assert leases.pop_expired(expires_at_holder) == []


def test_expired_lease_is_returned_once():
    leases = LeaseTable(duration_s=1.0, grace_s=0.5)
    leases.renew("h", 0.0)
    assert not leases.is_live("h", 1.7)
    assert leases.pop_expired(1.7) == ["h"]
    assert leases.pop_expired(9.0) == []
    assert "h" not in leases
