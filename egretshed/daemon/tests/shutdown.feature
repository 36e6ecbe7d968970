Feature: A graceful stop cancels no request

  Scenario Outline: A node stops while <count> streams run and callers read <reading>
    Given two running nodes
    When <count> callers stream a response from the first node and read <reading>
    And the first node stops gracefully
    Then every caller receives its complete response
    And the stop cancelled no request

    # Guards against a breach of P8: a stop that interrupts streams, including those that
    # their callers read slowly.
    Examples:
      | count | reading  |
      | 1     | at once  |
      | 8     | at once  |
      | 4     | slowly   |

  Scenario: A leaving node is not handed out but still serves requests
    Given two running nodes
    When the first node starts to leave
    Then neither node hands out the address of the first node
    And the first node still serves a request

  Scenario: A stopping node serves callers that got its address after the stop began
    # Guards against a node that refuses connections while callers still have its address
    # cached.
    Given two running nodes with a suspicion time of 3 s
    When the first node starts to stop
    And a caller that got its address 0.1 s later has cached it until it expires
    Then the first node still accepts connections

  Scenario: A stopping node refuses new requests with the correct outcome
    Given two running nodes
    When the first node refuses new requests
    Then a submission to it is answered with "not_run" and a retry-after time
    And a resubmission to it is answered with "unknown" and a retry-after time
    And no backend server received a call of either
