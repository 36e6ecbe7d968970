Feature: Responses of backend servers are read with limits

  # Guards against sound streams that are cut because they are slow, against calls that
  # sent bytes keep alive although they make no token, against memory that grows with an
  # event, and against errors without a type.
  Scenario Outline: An engine sends <stream>
    Given an engine that sends <stream>
    When a call to it has a progress limit of 0.5 s and 4 s to go
    Then it ends with <result> within <limit> s
    And its memory grew by at most 4 MB

    Examples:
      | stream                             | result           | limit |
      | 12 tokens, one each 0.1 s          | 12 tokens        | 3     |
      | 4 tokens, one each 0.4 s           | 4 tokens         | 3     |
      | a byte of an event each 0.1 s      | backend_silent   | 1.5   |
      | a comment each 0.1 s               | backend_silent   | 1.5   |
      | an empty event each 0.1 s          | backend_silent   | 1.5   |
      | an event without end               | backend_error    | 1.5   |
      | an event that is not JSON          | backend_error    | 1.5   |
      | an event that is a list            | backend_error    | 1.5   |
      | an event whose choices are numbers | backend_error    | 1.5   |
      | a head without end                 | backend_unreachable | 1.5 |

  Scenario Outline: A service responds with <body>
    Given a service that responds with <body>
    When a plain call to it has a progress limit of 0.5 s and 4 s to go
    Then it ends with <result> within <limit> s

    Examples:
      | body            | result        | limit |
      | {"output": {}}  | an output     | 1     |
      | []              | backend_error | 1     |
      | {"output": 1}   | backend_error | 1     |
      | {               | backend_error | 1     |

  # Guards against an answer that the next call on the connection takes for its own.
  Scenario Outline: A service sends each response twice, the second <delay> s later
    Given a service that sends each response twice, the second <delay> s later
    When 4 calls are made to it, 0.03 s apart
    Then each call gets its own response

    Examples:
      | delay |
      | 0     |
      | 0.02  |
      | 0.15  |
