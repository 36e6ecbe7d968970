Feature: A reader that reconnects gets every item of its stream exactly once

  Scenario Outline: Resume <case>
    Given a stream with the items <items>
    When a reader requests the items after <after>
    Then it gets the batches <batches>

    # Guards against P4: missing or duplicate tokens after a reconnect.
    Examples:
      | case                     | items          | after | batches                |
      | from the start           | a b c          | 0     | 3:tokens=a+b+c         |
      | in the middle            | a b c          | 2     | 3:tokens=c             |
      | at the end               | a b c          | 3     | nothing                |
      | across a reset           | a reset b      | 0     | 1:tokens=a 2:reset 3:tokens=b |
      | after a reset            | a reset b      | 2     | 3:tokens=b             |
      | with the final item      | a final        | 1     | 2:final                |
      | of a finished stream     | a b final      | 0     | 2:tokens=a+b 3:final   |
      | beyond the end           | a              | 9     | nothing                |

  Scenario: A stream whose buffer was discarded reports a gap instead of skipping items
    Given a stream with the items a b final
    When its buffer is discarded
    And a reader requests the items after 1
    Then it gets a stream gap with 4 as the oldest sequence

  Scenario: A second outcome of one request is an invariant violation (P1)
    Given a stream with the items a final
    When a second outcome is written
    Then the invariant "P1_one_outcome" is violated

  Scenario Outline: A request that ends with <error> has the outcome <outcome>
    Given a request that <sent> to a backend server and <rule> be repeated
    When it ends with <error>
    Then its outcome is <outcome>
    And the outcome <wait> a retry-after time

    # Guards against P5 (not_run for a request that may have run) and P6 (a retry-after
    # time for a non-repeatable request that this submission has sent).
    Examples:
      | sent         | rule    | error            | outcome | wait    |
      | was not sent | may     | NotRun           | not_run | has     |
      | was not sent | may not | NotRun           | not_run | has     |
      | was sent     | may     | RequestFailed    | failed  | has     |
      | was sent     | may not | RequestFailed    | failed  | has not |
      | was sent     | may not | OutcomeUnknown   | unknown | has not |
      | was sent     | may not | PeerUnavailable  | unknown | has not |
      | was sent     | may     | PeerUnavailable  | failed  | has     |
      | was sent     | may     | NotRun           | failed  | has     |
      | was sent     | may not | NotRun           | unknown | has not |
      | was not sent | may not | TableUnavailable | not_run | has     |
      | was sent before | may     | NotRun        | failed  | has     |
      | was sent before | may not | NotRun        | unknown | has     |

  Scenario Outline: The buffer of a stream that ended <age> s ago is <kept>
    Given a stream in a store that keeps buffers for 60 s
    When <age> s have passed since the stream ended
    Then its buffer is <kept> and its outcome is <outcome>

    # Guards against unbounded memory and against dropping streams that may be resumed.
    Examples:
      | age | kept    | outcome |
      | 59  | kept    | kept    |
      | 61  | dropped | kept    |
      | 301 | dropped | dropped |
