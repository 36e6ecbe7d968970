import asyncio


def before_all(context):
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.systems = {}


def after_feature(context, feature):
    for system in context.systems.values():
        context.loop.run_until_complete(system.stop())
    context.systems = {}


def after_all(context):
    context.loop.close()
