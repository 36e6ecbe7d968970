"""Feeds a stream in random chunks; only complete events may be forwarded, none lost.

The oracle is the concatenation of all chunks.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from egretshed.relay.events import EventSplitter
from standins.fuzz import fuzz_main


class RandomChunks(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.splitter = EventSplitter()
        self.unsent = b""
        self.sent = b""
        self.forwarded = b""

    @rule(number=st.integers(0, 99), text=st.text("abc xyz:", max_size=8))
    def make_event(self, number, text):
        self.unsent += f"id: {number}\ndata: {text}\n\n".encode()

    @rule(size=st.integers(1, 40))
    def send(self, size):
        chunk, self.unsent = self.unsent[:size], self.unsent[size:]
        self.sent += chunk
        self.forwarded += self.splitter.feed(chunk)

    @invariant()
    def nothing_is_lost_or_cut(self):
        assert self.forwarded + self.splitter.remainder() == self.sent
        assert not self.forwarded or self.forwarded.endswith(b"\n\n")


if __name__ == "__main__":
    fuzz_main(RandomChunks)
