Feature: Bytes that belong to no request never become an answer

  # Guards against a second copy of an answer that arrives late on a kept connection: the
  # next request would take it for its own.
  Scenario Outline: The server sends <extra> of each answer again after <delay_ms> ms
    Given a server that <names> the request's id and sends <extra> again after <delay_ms> ms
    When 6 requests are sent to it in turn, <pause_ms> ms apart
    Then no request got the answer of another one
    And at least <own> requests got their own answer

    Examples:
      | names       | extra           | delay_ms | pause_ms | own |
      | echoes      | the whole       | 0        | 0        | 6   |
      | echoes      | the whole       | 0        | 60       | 6   |
      | echoes      | the whole       | 20       | 0        | 3   |
      | echoes      | the whole       | 20       | 60       | 6   |
      | echoes      | the whole       | 150      | 60       | 3   |
      | echoes      | the head        | 20       | 0        | 3   |
      | echoes      | half            | 0        | 0        | 6   |
      | echoes      | garbage         | 20       | 60       | 6   |
      | echoes      | nothing         | 0        | 0        | 6   |
      | leaves out  | the whole       | 0        | 0        | 6   |
      | leaves out  | the whole       | 20       | 0        | 6   |
      | leaves out  | the whole       | 150      | 60       | 6   |
      | leaves out  | nothing         | 0        | 0        | 6   |

  # Guards against a new connection for each request, which costs servers work.
  Scenario: A server that identifies its answers keeps its connection
    Given a server that echoes the request's id and sends nothing again after 0 ms
    When 6 requests are sent to it in turn, 0 ms apart
    Then it has accepted 1 connections

  # Guards against the reuse of a connection that its server is about to close.
  Scenario Outline: A connection whose server answers with "<header>" is <kept>
    Given a server that answers with the header "<header>"
    When 2 requests are sent to it in turn, <pause_ms> ms apart
    Then it has accepted <connections> connections

    Examples:
      | header                        | pause_ms | kept     | connections |
      | Keep-Alive: timeout=5         | 0        | kept     | 1           |
      | Keep-Alive: timeout=0         | 0        | not kept | 2           |
      | Keep-Alive: timeout=1, max=9  | 900      | not kept | 2           |
      | Connection: Keep-Alive, close | 0        | not kept | 2           |
