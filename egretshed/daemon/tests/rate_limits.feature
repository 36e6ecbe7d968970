Feature: A server gets no more requests than the rate that it names

  # Guards against nodes that each respect the limit of a server, or none of it, so that
  # their sum exceeds it.
  Scenario Outline: Requests for "<path>", a server of "<service>" is limited, <event>
    Given 3 entry nodes and 3 servers of each service
    And 1 server of "<service>" names a limit of <limit> requests a second
    When <rate> requests a second for "<path>" are sent to all nodes for 10 s, and <event>
    Then from 3.5 s on, it gets at most <most> requests in any 4 s
    And at least <share> of all requests are answered

    Examples: ways of sending
      | path   | service | limit | rate | most | event             | share |
      | read   | plain   | 1     | 24   | 11   | nothing happens   | 0.98  |
      | book   | plain   | 1     | 24   | 11   | nothing happens   | 0.98  |
      | ask    | engine  | 1     | 24   | 11   | nothing happens   | 0.98  |
      | digest | engine  | 0.5   | 24   | 8    | nothing happens   | 0.98  |
      | ask    | first   | 1     | 24   | 11   | nothing happens   | 0.98  |
      | ask    | second  | 2.5   | 24   | 20   | nothing happens   | 0.98  |
      | read   | plain   | 0     | 24   | 5    | nothing happens   | 0.98  |
      | read   | plain   | 1     | 24   | 11   | a node restarts   | 0.9   |
      | ask    | engine  | 1     | 24   | 11   | a node stops      | 0.9   |

  # Guards against nodes that refuse requests although limited servers may take them, and
  # against requests that wait for a server that takes none.
  Scenario Outline: All servers of a service are limited and get more than they take
    Given 3 entry nodes and 3 servers of each service
    And 3 servers of "<service>" name a limit of 2 requests a second
    When 30 requests a second for "<path>" are sent to all nodes for 10 s, and nothing happens
    Then from 3.5 s on, they get at least 4.8 requests a second
    And refusals come within 0.4 s

    Examples:
      | path | service |
      | read | plain   |
      | ask  | engine  |

  # Guards against a server that is avoided after it has stopped to name its limit.
  Scenario: A server names no limit any more
    Given 3 entry nodes and 3 servers of each service
    And 1 server of "plain" names a limit of 1 requests a second
    When 24 requests a second for "read" are sent to all nodes for 10 s, and the limit ends
    Then in the last 2 s, it gets at least 4 requests
