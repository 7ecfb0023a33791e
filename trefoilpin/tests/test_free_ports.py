"""Ports for the servers that tests start."""

import socket

import pytest

from trefoilpin.fakes import free_ports

IPS = ("127.0.0.1", "127.0.0.3")


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
@pytest.mark.parametrize("ip", IPS)
def test_port_taken_on_one_address_is_not_free(kind, ip):
    """Guards against a fleet whose start fails with "Address already in use"."""
    (port,) = free_ports.find_free_ports(IPS, 1)
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind((ip, port))
        with pytest.raises(OSError):
            free_ports.check_port(IPS, port)
    free_ports.check_port(IPS, port)


def test_no_port_is_returned_twice():
    ports = free_ports.find_free_ports(IPS, 50) + free_ports.find_free_ports(IPS, 50)
    assert len(set(ports)) == 100
    assert all(port in range(*free_ports.PORT_RANGE) for port in ports)
