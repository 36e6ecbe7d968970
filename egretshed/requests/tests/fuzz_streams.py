"""Fuzz test of stream resumption with readers that lose their connection.

Guards against missing or duplicate tokens after any sequence of writes, resets, partial
reads and reconnects.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from egretshed.requests.stream import RequestStream
from standins.clock import ManualClock
from standins.environments import make_environment
from standins.fuzz import fuzz_main

READERS = 3


class StreamMachine(RuleBasedStateMachine):
    """Compares readers with the tokens written since the last reset."""

    @initialize()
    def start(self):
        env = make_environment(ManualClock())
        self.stream = RequestStream(env, "n:1:1", "customer", "r1")
        self.written: list[str] = []
        self.read: list[list[str]] = [[] for _ in range(READERS)]
        self.position = [0] * READERS

    @rule(count=st.integers(1, 5))
    def write_tokens(self, count):
        if self.stream.finished:
            return
        tokens = tuple(f"{len(self.written) + i}" for i in range(count))
        self.written += tokens
        self.stream.append_tokens(tokens)

    @rule()
    def write_reset(self):
        if not self.stream.finished:
            self.written = []
            self.stream.reset()

    @rule()
    def finish(self):
        if not self.stream.finished:
            self.stream.finish({"outcome": "complete"})

    @rule(reader=st.integers(0, READERS - 1), received=st.integers(0, 4))
    def read_and_lose_connection(self, reader, received):
        """The reader receives only the first batches before its connection is lost."""
        batches = self.stream.batches_after(self.position[reader])
        for batch in batches[:received]:
            if batch.event == "reset":
                self.read[reader] = []
            self.read[reader] += batch.data.get("tokens", [])
            self.position[reader] = batch.sequence

    @invariant()
    def readers_have_a_prefix(self):
        if not hasattr(self, "stream"):
            return
        for reader in range(READERS):
            caught_up = self.position[reader] == self.stream.sequence
            if caught_up:
                assert self.read[reader] == self.written


if __name__ == "__main__":
    fuzz_main(StreamMachine)
