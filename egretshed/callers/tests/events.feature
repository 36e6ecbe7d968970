Feature: An event stream ends with the final event and resumes without loss

  Scenario Outline: Items appended while a batch is being written: <late>
    Given a consumer that has received the first batch of a stream
    When <late> are appended before the consumer requests more
    Then the consumer gets all items up to the final event

    # Guards against a violation of P4: a stream whose final item was appended during a
    # write ended without sending that item.
    Examples:
      | late             |
      | token final      |
      | token            |
      | reset token      |
      | final            |

  Scenario Outline: A stream cut off after <received> tokens resumes at <node> node
    Given two running nodes with the example deployment "laurentien"
    When a caller closes its connection after <received> tokens
    And it resumes from the last sequence number at <node> node
    Then it has every token once and in order

    # Guards against a violation of P4: a missing or duplicate token after a reconnect.
    Examples:
      | received | node      |
      | 1        | the same  |
      | 1        | the other |
      | 20       | the other |

  Scenario Outline: The node that runs a stream does not answer <when>
    # Guards against a resumed stream that ends without a final event: once a keep-alive
    # comment is written, an error status can no longer report that the stream is lost.
    Given a resumed stream whose node answers <replies> fetches and then none
    When the stream is read
    Then the stream is lost after <calls> fetches from its node
    And the first fetch times out before a keep-alive comment is due

    Examples:
      | when                | replies | calls |
      | from the start      | 0       | 1     |
      | after its first one | 1       | 4     |
