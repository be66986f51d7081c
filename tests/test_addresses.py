"""Validation of addresses that other writers send."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellyoke.addresses import AddressError, is_address, split_address

#: Texts that no instance can dial. Each made the code that opens a connection raise an
#: error other than OSError, or added lines to the head of a request.
ODD_ADDRESSES = [
    "",
    ":",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:²",
    "10.0.0.1:٣",
    "10.0.0.1: 80",
    "10.0.0.1:8_0",
    "10.0.0.256:80",
    "...:80",
    "nowhere:80",
    "a\r\nX: y:80",
    "fe80::1%a\r\nX: y:80",
    "[::1:80",
    "\x00:80",
]


@pytest.mark.parametrize("text", ODD_ADDRESSES)
def test_address_that_cannot_be_dialled_is_refused(text):
    assert not is_address(text)
    with pytest.raises(AddressError, match="write IP:PORT with a port from 1 to 65535"):
        split_address(text)


# Guards against a check that refuses the addresses of real machines.
@given(ip=st.ip_addresses(), port=st.integers(min_value=1, max_value=65535))
def test_address_with_any_port_in_range_is_accepted(ip, port):
    assert split_address(f"{ip}:{port}") == (str(ip), port)
    assert split_address(f"[{ip}]:{port}") == (str(ip), port)


# Guards against an error that callers do not expect, whatever the text is.
@given(host=st.text() | st.ip_addresses().map(str), port=st.text())
def test_accepted_address_is_an_ip_address_with_a_port_in_range(host, port):
    text = f"{host}:{port}"
    if is_address(text):
        found_host, found_port = split_address(text)
        assert ipaddress.ip_address(found_host)
        assert 1 <= found_port <= 65535
        assert text.isprintable()
