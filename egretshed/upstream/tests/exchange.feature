Feature: An incomplete response is never taken for a complete one

  # Guards against truncated or malformed responses, or those to another request, that
  # look complete, and against reusing a connection whose state is uncertain.
  Scenario Outline: <case>
    Given a server that sends <answer> and then <ending>
    When a request is sent to it
    Then the outcome is "<outcome>" and reusable is <reusable>

    Examples:
      | case                        | answer                                                    | ending | outcome   | reusable |
      | whole by length             | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok             | waits  | 200 ok    | yes      |
      | cut by length               | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok             | closes | failed    | no       |
      | whole in chunks             | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n | waits | 200 ok | yes |
      | cut in chunks               | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n | closes | failed | no |
      | no length, closed           | HTTP/1.1 200 OK\r\n\r\nok                                 | closes | 200 ok    | no       |
      | no length, reset            | HTTP/1.1 200 OK\r\n\r\nok                                 | resets | failed    | no       |
      | asks to close               | HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok | waits | 200 ok | no |
      | no answer                   | nothing                                                   | closes | failed    | no       |
      | not an answer               | hello hello\r\n\r\n                                       | waits  | failed    | no       |
      | two lengths                 | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok | waits | failed | no |
      | an interim answer first     | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok | waits | 200 ok | yes |

  # Guards against marking a request as possibly run although nothing of it was sent: it
  # can be sent to another server.
  Scenario: No server listens on the port
    When a request is sent to a port without a listener
    Then it failed and cannot have run

  # Guards against logs that do not tell a server that closed from a link without sound.
  Scenario Outline: A server that <ending>
    Given a server that sends HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok and then <ending>
    When a request to it has its head, and 0.2 s pass
    Then its connection is "<end>", and the server was silent for 0.1 s or more

    Examples:
      | ending | end    |
      | waits  | none   |
      | closes | closed |
      | resets | reset  |

  # Guards against a call that reaches a server which said meanwhile that it leaves.
  Scenario: A call is withdrawn while its connection is opened
    Given a server that sends HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and then waits
    When a call is made that may not be sent once the connection is open
    Then it failed and cannot have run
