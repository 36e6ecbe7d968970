Feature: A planned stop cuts off no request

  Scenario Outline: A node stops while <count> streams run and callers read <reading>
    Given two running nodes
    When <count> callers stream an answer from the first node and read <reading>
    And the first node stops gracefully
    Then every caller has its whole answer
    And the stop cut no request

    # Guards against P8: streams cut by a stop, also those whose caller reads late.
    Examples:
      | count | reading  |
      | 1     | at once  |
      | 8     | at once  |
      | 4     | slowly   |

  Scenario: A node that leaves is not handed out and still serves
    Given two running nodes
    When the first node begins to leave
    Then neither node hands out the first node any more
    And the first node still serves a request

  Scenario: A stopping node serves callers that were sent to it after it began to leave
    # Guards against addresses that refuse connections while callers still keep them.
    Given two running nodes that detect a failure after 3 s
    When the first node begins to stop
    And a caller keeps an address that it got 0.1 s later for as long as it may
    Then the first node still accepts its connection

  Scenario: A stopping node refuses new requests truthfully
    Given two running nodes
    When the first node refuses new requests
    Then a submission to it is answered "not_run" with a time to return
    And a resubmission to it is answered "unknown" with a time to return
    And no backend server received a call of either
