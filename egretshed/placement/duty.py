"""Name of the duty to place the prompts of a service on its engines."""


def engine_duty(service: str) -> str:
    return f"engines/{service}"
