Feature: A planned stop under load leaves no request without an answer

  # Guards against requests that were accepted just before or during a stop and cut off.
  Scenario Outline: <signals> while callers send on <kind> connections
    Given 3 entry nodes and 2 servers of each service
    When callers send requests to /read/x on <kind> connections to "node-0" until it ends
    And "node-0" gets <signals>
    Then every request that was sent got an answer, or its connection was refused
    And at least 20 requests were answered after the first signal
    And each answer tells the truth about its execution

    Examples:
      | kind | signals                   |
      | new  | SIGTERM                   |
      | kept | SIGTERM                   |
      | new  | SIGTERM twice in 0.5 s    |
      | kept | SIGTERM twice in 0.5 s    |

  # Guards against requests that are accepted late in the time of a stop and cut at its end.
  Scenario Outline: Requests of <work_s> s to <path> on <kind> connections until it ends
    Given 3 entry nodes and 2 servers of each service
    And the servers of "plain" take <work_s> s for a request
    When callers send requests to <path> on <kind> connections to "node-0" until it ends
    And "node-0" gets SIGTERM
    Then every request that was sent got an answer, or its connection was refused
    And at least 4 requests were answered after the first signal
    And each answer tells the truth about its execution
    And none that was accepted was ended early

    Examples:
      | work_s | path    | kind |
      | 1.8    | /book/x | new  |
      | 1.8    | /book/x | kept |
      | 1.9    | /read/x | kept |

  # Guards against a request whose body was still on its way when the node went idle.
  Scenario Outline: A body that ends <end_s> s after the signal
    Given 3 entry nodes and 2 servers of each service
    When a request to /book/x is sent to "node-0" in two halves, <end_s> s apart
    And after the first half "node-0" is stopped by SIGTERM
    Then it is answered with <status>

    Examples:
      | end_s | status |
      | 0.5   | 200    |
      | 3.4   | 503    |

  # Guards against a connection that is closed without an answer at the end of the time.
  Scenario Outline: A server hangs until <signals> ends the wait
    Given 3 entry nodes and 2 servers of each service
    And of the servers of "plain", all hang
    When request "r1" to <path> is on its way and "node-0" gets <signals>
    Then the caller receives status <status> within its deadline

    Examples:
      | path    | signals                | status |
      | /book/x | SIGTERM                | 502    |
      | /book/x | SIGTERM twice in 0.5 s | 502    |
