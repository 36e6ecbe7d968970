from standins import behave_loop
from standins.behave_loop import after_all  # noqa: F401


def before_all(context):
    behave_loop.before_all(context)
    context.systems = {}


def after_feature(context, feature):
    system = context.systems.pop(feature.name, None)
    if system is not None:
        context.loop.run_until_complete(system.__aexit__())
