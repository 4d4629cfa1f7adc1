"""Ports for processes that start later.

Guards against a test process that cannot bind its port, because a test in another process was given
the same one or a connection took it meanwhile.
"""

import random

from marjoramford.standins import ports


def test_ports_are_not_assigned_by_the_kernel_and_not_returned_again(monkeypatch):
    start = random.randrange(len(ports.PORTS))
    monkeypatch.setattr(ports.random, "randrange", lambda _: start)
    first, second = ports.free_ports(3), ports.free_ports(3)
    assert len({*first, *second}) == 6
    assert max(*first, *second) < 32_768
