Feature: Streams end when they stall, and only then

  # Guards against a stream that never ends because a byte arrives now and then, and
  # against one that is cut although its events arrive within the route's limits.
  Scenario Outline: A stream of <path>, servers: <trouble>
    Given 3 entry nodes and 2 servers of each service
    And of the servers of "engine", <trouble>
    When request "r1" to <path> is sent
    Then the caller receives status <status> within its deadline
    And the response took at most <most_s> s
    And the servers of "engine" executed it <ran> times

    Examples:
      | path      | trouble                        | status | most_s | ran |
      | /digest/x | all are slow                   | 200    | 4      | 1   |
      | /ask/x    | all are slow                   | 200    | 4      | 1   |
      | /digest/x | one drips                      | 200    | 2.6    | any |
      | /digest/x | one sends an event without end | 200    | 2.6    | any |
      | /digest/x | all send an event without end  | 502    | 3      | 2   |
      | /ask/x    | all send an event without end  | 502    | 2      | 1   |
      | /ask/x    | all drip                       | 599    | 4.5    | 1   |

  # Guards against a stream that is framed as complete for the caller although its server
  # closed the connection inside an event: neither a length nor chunks show its end.
  Scenario Outline: A response of <path> without framing, servers: <trouble>
    Given 3 entry nodes and 2 servers of each service
    And of the servers of "<service>", <trouble>
    When request "r1" to <path> is sent
    Then the caller receives status <status> within its deadline
    And a response with status 200 has the whole body of <path>
    And the servers of "<service>" executed it <ran> times

    Examples:
      | path      | service | trouble                              | status | ran |
      | /ask/x    | engine  | all send neither length nor chunks   | 200    | 1   |
      | /ask/x    | engine  | all reset inside an event            | 599    | 1   |
      | /ask/x    | engine  | all reset after the last event       | 599    | 1   |
      | /digest/x | engine  | all send neither length nor chunks   | 200    | 1   |
      | /book/x   | plain   | all send neither length nor chunks   | 200    | 1   |
      | /book/x   | plain   | all reset inside an event            | 502    | 1   |
      | /read/x   | plain   | one resets inside an event           | 200    | any |

    Examples: the connection or the chunks end early
      | path      | service | trouble                              | status | ran |
      | /ask/x    | engine  | all close inside an event            | 599    | 1   |
      | /ask/x    | engine  | all close before the final line end  | 599    | 1   |
      | /ask/x    | engine  | all close after the head             | 502    | 1   |
      | /ask/x    | engine  | all end the chunks inside an event   | 599    | 1   |
      | /digest/x | engine  | one closes inside an event           | 200    | any |
      | /digest/x | engine  | one closes before the final line end | 200    | any |
      | /digest/x | engine  | one closes after the head            | 200    | any |
      | /digest/x | engine  | all close inside an event            | 599    | 2   |
      | /digest/x | engine  | all end the chunks inside an event   | 599    | 2   |

  # Guards against the text of a server's error, or its head, in the middle of a stream
  # that another server began, and against such a stream that ends as if it were complete.
  Scenario Outline: A stream is cut, and the server that it would go on at <fails>
    Given 3 entry nodes and 2 servers of each service
    And one engine cuts streams midway, and the other <fails>
    When the bytes of 6 streams are read
    Then they hold events of their streams alone, and none ends as complete

    Examples:
      | fails                    |
      | is full                  |
      | fails                    |
      | answers 503 after a run  |
      | is at another's address  |
      | closes after the head    |
      | loses its answers        |

  # Guards against a cut stream that an HTTP/1.0 caller takes for complete: it gets no
  # chunks, so that an orderly close would look like the end.
  Scenario Outline: An HTTP/1.0 caller reads a stream, servers: <trouble>
    Given 3 entry nodes and 2 servers of each service
    And of the servers of "engine", <trouble>
    When an HTTP/1.0 caller sends a request to /ask/x
    Then the caller sees the connection <end>

    Examples:
      | trouble                   | end    |
      | all are well              | closed |
      | all cut streams midway    | reset  |
      | all close inside an event | reset  |

  # Guards against memory that grows with the bytes of a server in trouble.
  Scenario: Servers send events without end to several callers
    Given 3 entry nodes and 2 servers of each service
    And of the servers of "engine", all send an event without end
    When 8 requests to /ask/x are sent to "node-0" at once
    Then its memory grew by at most 60 MB

  # Guards against callers whose bytes take memory or hold a connection without end.
  Scenario Outline: A caller sends <part> without end, <size> bytes each <pace_ms> ms
    Given 3 entry nodes and 2 servers of each service
    And the limits of callers are 1000 header bytes, 20000 body bytes and 1 s
    When a caller sends <part> to "node-0", <size> bytes each <pace_ms> ms
    Then its connection is closed within <most_s> s
    And its memory grew by at most 20 MB

    Examples:
      | part           | size | pace_ms | most_s |
      | header lines   | 500  | 0       | 2      |
      | header lines   | 15   | 50      | 3      |
      | a chunked body | 8000 | 0       | 2      |
      | a chunked body | 1    | 50      | 3      |
      | a sized body   | 1    | 50      | 3      |
      | nothing        | 1    | 50      | 3      |

  # Guards against a slow upload that is cut although it makes progress.
  Scenario: A caller sends its body slowly
    Given 3 entry nodes and 2 servers of each service
    And the limits of callers are 1000 header bytes, 20000 body bytes and 1 s
    When a caller uploads 6000 bytes to "node-0", 600 bytes each 300 ms
    Then it is answered with 200
