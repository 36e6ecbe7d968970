from behave import (
    given,
    then,
    when,
)

from bench.process_cost import (
    TICKS_PER_S,
    cpu_s,
    fit_plane,
    metric_values,
)


@when('the stat file of a process has "{stat}"')
def read_stat(context, stat):
    context.cpu_s = cpu_s(stat)


@then("its CPU time is {ticks:d} ticks")
def cpu_time_is(context, ticks):
    assert context.cpu_s * TICKS_PER_S == ticks, context.cpu_s


@when('a metrics text has the line "{line}"')
def read_metrics(context, line):
    context.values = metric_values(line.replace("'", '"') + "\n")


@then('it has the value {value:g} under "{name}"')
def has_value(context, value, name):
    assert context.values[name] == value, context.values


@given("points of z = 2 + 3 x - 0.5 y")
def plane_points(context):
    points = [(1, 1), (2, 5), (4, 2), (7, 9), (3, 3)]
    context.points = [(x, y, 2 + 3 * x - 0.5 * y) for x, y in points]


@then("the fitted plane has base 2, slopes 3 and -0.5 and no spread")
def plane_fits(context):
    for fitted, expected in zip(fit_plane(context.points), (2, 3, -0.5, 0)):
        assert abs(fitted - expected) < 1e-9, fit_plane(context.points)
