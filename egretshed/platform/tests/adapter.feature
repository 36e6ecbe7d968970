Feature: The platform's forms are decoded once, good and broken

  # Guards against an entry of another writer that names a server to use.
  Scenario Outline: A server entry with <field> set to <value>
    When a server entry with "<field>" set to <value> is decoded
    Then it <result>

    Examples:
      | field             | value         | result         |
      | nothing           | 0             | is a server    |
      | state             | "draining"    | is a server    |
      | state             | "asleep"      | is ignored     |
      | state             | 7             | is ignored     |
      | address           | "10.0.0.1"    | is ignored     |
      | address           | "10.0.0.1:x"  | is ignored     |
      | address           | missing       | is ignored     |
      | service           | missing       | is ignored     |
      | service           | null          | is ignored     |
      | slots             | "8"           | is ignored     |
      | sequence          | missing       | is ignored     |
      | cold_remaining_ms | 1200.5        | is a server    |
      | born              | 1772121547000 | is a server    |
      | another           | [1]           | is a server    |

  # Guards against headers that a caller may not set, and one connection's headers that
  # are passed on.
  Scenario Outline: The header <name> of a caller
    When a request with header "<name>" of value "<value>" is sent on
    Then the server gets "<name>" as "<seen>"

    Examples:
      | name             | value        | seen   |
      | Request-Id       | r1           | r1     |
      | X-Any            | 1            | 1      |
      | Authorization    | Token k      | absent |
      | Tenant           | other        | cust   |
      | Retain           | 5            | absent |
      | Kv-From          | 1.2.3.4:5/x  | absent |
      | Pin-Ms           | 100          | absent |
      | Kv-Backup        | 1.2.3.4:5    | absent |
      | Request-Priority | 0            | 3      |
      | Expect-Replica   | other        | s1     |
      | Inputs           | 1.2.3.4:5/x  | absent |
      | Te               | trailers     | absent |
      | Keep-Alive       | timeout=5    | absent |
      | Deadline-Ms      | 99999        | 1500   |
      | Last-Event-Id    | 4            | 4      |

  # Guards against a proof of not having run that is read where there is none.
  Scenario Outline: An answer <status> with <header>
    When an answer <status> with header "<header>" is decoded
    Then it proves not run: <proof>

    Examples:
      | status | header       | proof |
      | 503    | Not-Executed | yes   |
      | 503    | X-Other      | no    |
      | 421    | X-Other      | yes   |
      | 429    | Not-Executed | yes   |
      | 500    | X-Other      | no    |
      | 409    | Not-Executed | yes   |

  # Guards against store answers that are taken for what they are not.
  Scenario Outline: Stage results <body> for 2 pieces
    When stage results <body> for 2 pieces are decoded
    Then the results are <result>

    Examples:
      | body                                                      | result      |
      | {"entries":[{"handle":"a/1"},{"reason":"gone"}]}          | a/1 input_gone |
      | {"entries":[{"handle":"a/1"}]}                            | rejected    |
      | {"entries":[{"handle":5},{"reason":"gone"}]}              | rejected    |
      | {"entries":                                               | rejected    |
      | []                                                        | rejected    |

  # Guards against a large table that can never be read over a slow link, and against a
  # connection that went silent in the middle of an answer.
  Scenario Outline: A store <call> answer comes in <pieces> pieces, one each <pause> s, <ending>
    Given a store that answers a call in <pieces> pieces, one each <pause> s, <ending>
    When the table is asked for by <call>
    Then the answer is <outcome> within <limit> s

    Examples:
      | call | pieces | pause | ending        | outcome     | limit |
      | read | 7      | 0.3   | whole         | whole       | 3     |
      | feed | 7      | 0.3   | whole         | whole       | 3     |
      | read | 3      | 0.1   | then silent   | unavailable | 2     |
      | feed | 3      | 0.1   | then silent   | unavailable | 2     |
      | read | 0      | 0.1   | then silent   | unavailable | 1.5   |
