import asyncio


def before_all(context):
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.systems = {}


def after_feature(context, feature):
    system = context.systems.pop(feature.name, None)
    if system is not None:
        context.loop.run_until_complete(system.__aexit__())


def after_all(context):
    context.loop.close()
