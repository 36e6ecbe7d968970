Feature: A caller's events end with the final answer and resume without loss

  Scenario Outline: Items that arrive while a batch is being written: <late>
    Given a reader that has taken the first batch of a stream
    When <late> arrive before the reader asks for more
    Then the reader gets all items up to the final answer

    # Guards against P4: the stream ended early when the final item came during a write.
    Examples:
      | late             |
      | token final      |
      | token            |
      | reset token      |
      | final            |

  Scenario Outline: A stream broken after <received> tokens resumes at <node> node
    Given two running nodes with the example deployment "laurentien"
    When a caller breaks its stream after <received> tokens
    And it resumes from the last sequence number at <node> node
    Then it has every token once and in order

    # Guards against P4: a missing or doubled token after a reconnect.
    Examples:
      | received | node      |
      | 1        | the same  |
      | 1        | the other |
      | 20       | the other |

  Scenario Outline: The node that runs a stream is silent <when>
    # Guards against a resumed stream that ends without a final answer: once a keep-alive
    # comment is written, the caller can no longer be told that its stream is lost.
    Given a resumed stream whose node answers <replies> times and then not at all
    When the stream is read
    Then it is lost after <calls> calls to the node
    And the first call ends before a keep-alive comment is due

    Examples:
      | when                | replies | calls |
      | from the start      | 0       | 1     |
      | after its first one | 1       | 4     |
