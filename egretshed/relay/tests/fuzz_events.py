"""Splitting a stream anywhere passes on the same whole events.

The oracle is the plain concatenation of what was sent.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from egretshed.relay.events import EventSplitter
from standins.fuzz import fuzz_main


class SplitAnywhere(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.splitter = EventSplitter()
        self.unsent = b""
        self.sent = b""
        self.passed = b""

    @rule(number=st.integers(0, 99), text=st.text("abc xyz:", max_size=8))
    def make_event(self, number, text):
        self.unsent += f"id: {number}\ndata: {text}\n\n".encode()

    @rule(size=st.integers(1, 40))
    def send(self, size):
        piece, self.unsent = self.unsent[:size], self.unsent[size:]
        self.sent += piece
        self.passed += self.splitter.feed(piece)

    @invariant()
    def nothing_is_lost_or_cut(self):
        assert self.passed + self.splitter.rest() == self.sent
        assert not self.passed or self.passed.endswith(b"\n\n")


if __name__ == "__main__":
    fuzz_main(SplitAnywhere)
