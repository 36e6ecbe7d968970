from behave import (
    given,
    then,
    when,
)

from standins.ports import (
    PortLease,
    PortsExhausted,
)

LOWEST_TEST_PORT = 8000


@given("a range of {count:d} ports")
def port_range(context, count):
    context.port_range = (LOWEST_TEST_PORT, LOWEST_TEST_PORT + count)


@when("{leases:d} processes take {count:d} ports each before any of them listens")
def take_ports(context, leases, count):
    context.leases = [PortLease(*context.port_range) for _ in range(leases)]
    for lease in context.leases:
        context.add_cleanup(lease.close)
    context.taken = [lease.take(count) for lease in context.leases]


@then("no port was given to two of them")
def none_shared(context):
    ports = [port for taken in context.taken for port in taken]
    assert len(ports) == len(set(ports)), sorted(ports)


@then("one more port is refused")
def refused(context):
    try:
        ports = context.leases[0].take(1)
    except PortsExhausted:
        return
    raise AssertionError(f"got {ports}")
