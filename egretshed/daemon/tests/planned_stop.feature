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
    And it had the answer <early> s before the limit of the stop, and the node ended

    Examples:
      | path    | signals                | status | early |
      | /book/x | SIGTERM                | 502    | 0.1   |
      | /read/x | SIGTERM                | 502    | 0.3   |
      | /book/x | SIGTERM twice in 0.5 s | 502    | 3.0   |

  # Guards against an answer that is cut or given up although its server ends in time.
  Scenario Outline: A request to <path> ends <end_s> s after the signal, of 8 s
    Given 3 entry nodes with a shutdown limit of 8 s and routes of 10 s
    When request "r1" to <path> ends <end_s> s after "node-0" gets <signals>
    Then the caller receives status <status> within its deadline
    And it had the answer <early> s before the limit of the stop, and the node ended

    Examples:
      | path    | end_s | signals                | status | early |
      | /book/x | 7.3   | SIGTERM                | 200    | 0.3   |
      | /ask/x  | 7.3   | SIGTERM                | 200    | 0.3   |
      | /read/x | 7.3   | SIGTERM                | 502    | 0.5   |
      | /ask/x  | 20    | SIGTERM                | 599    | 0.1   |
      | /ask/x  | 2     | SIGTERM twice in 0.5 s | 200    | 5.0   |

  # Guards against a stream that is accepted during a stop, although it takes longer than
  # the time that is left, and is cut; against one that a second signal cuts; and against
  # refusing what can end in time.
  Scenario Outline: Streams of <last_s> s, <signals>, beside <beside>, <served> served
    Given 3 entry nodes and 2 servers of each service
    And streams last <last_s> s after their head
    And "node-0" has served <served> requests of each route
    When callers of each route send to "node-0" on new and kept connections until it ends
    And further callers begin 0.4, 0.8 and 1.2 s after the signal
    And "node-0" is stopped by <signals> beside <beside>
    Then each request that was read got a whole answer or a true refusal
    And those without either ran into the last sixth and were sent by 3 s after the signal
    And no request that was sent after the signal was cut
    And at least <streams> streams and 20 others sent after the signal were answered

    Examples:
      | last_s | signals                | beside                  | served | streams |
      | 0.5    | SIGTERM                | no other change         | 6      | 8       |
      | 2.0    | SIGTERM                | no other change         | 6      | 2       |
      | 2.0    | SIGTERM                | changes of routes       | 6      | 2       |
      | 2.0    | SIGTERM                | a shorter route timeout | 6      | 0       |
      | 3.5    | SIGTERM                | no other change         | 6      | 0       |
      | 3.5    | SIGTERM                | no other change         | 0      | 0       |

    @known_red
    Examples: a second signal
      | last_s | signals                | beside                  | served | streams |
      | 2.0    | SIGTERM twice in 0.5 s | no other change         | 6      | 0       |

  # Guards against streams that wait for stages until they are cut or refused at the end.
  Scenario: Stages hang from the signal on
    Given 3 entry nodes and 2 servers of each service
    And streams last 1.0 s after their head
    And "node-0" has served 6 requests of each route
    When callers of each route send to "node-0" on new and kept connections until it ends
    And further callers begin 0.4, 0.8 and 1.2 s after the signal
    And the stages take 0.8 s each from now on
    And "node-0" is stopped by SIGTERM beside no other change
    Then each request that was read got a whole answer or a true refusal
    And no request that was sent after the signal was cut
    And each refused one was refused by 2.6 s after the signal, or within 0.3 s
    And at least 0 streams and 20 others sent after the signal were answered

  # Guards against requests that are cut or dropped when a node is stopped while it starts.
  Scenario Outline: A node is stopped <delay_s> s after it began to listen
    Given 3 entry nodes and 2 servers of each service
    And streams last 0.5 s after their head
    And "node-0" was killed and is started again
    When callers of each route send to "node-0" once it listens
    And "node-0" is stopped <delay_s> s later
    Then each request that was read got a whole answer or a true refusal
    And no request was cut

    Examples:
      | delay_s |
      | 0.0     |
      | 0.05    |
      | 0.3     |
