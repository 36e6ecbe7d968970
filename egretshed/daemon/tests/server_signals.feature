Feature: What a server says in its responses binds every node

  # Guards against new work for a server that has said itself that it leaves, before the
  # list says so or although the list calls it ready.
  Scenario Outline: A server of "<service>" says that it leaves, requests for "<path>"
    Given 3 entry nodes and 3 servers of each service
    And 1 server of "<service>" sends "Server-Leaving: 1" in its responses
    When 24 requests a second for "<path>" are sent to all nodes for 6 s, and <event>
    Then between 2 s and 6 s, it gets at most 0 requests
    And at least 0.98 of all requests are answered

    Examples:
      | path   | service | event                    |
      | read   | plain   | nothing happens          |
      | book   | plain   | nothing happens          |
      | ask    | engine  | nothing happens          |
      | digest | engine  | nothing happens          |
      | ask    | first   | nothing happens          |
      | read   | plain   | it is listed again       |

  # Guards against requests for a server that has asked a node for a pause, also when its
  # pause ends and requests have gathered.
  Scenario Outline: A full server of "<service>" sends "<header>", requests for "<path>"
    Given 3 entry nodes and 3 servers of each service
    And 1 full server of "<service>" sends "<header>" in its responses
    When 24 requests a second for "<path>" are sent to all nodes for 6 s, and nothing happens
    Then between 0.7 s and 3 s, it gets at most <early> requests
    And between 3 s and 6 s, it gets at most <late> requests
    And at least 0.95 of all requests are answered

    Examples: two requests are allowed for each of three nodes
      | path | service | header           | early | late |
      | read | plain   | Retry-After: 3   | 6     | 6    |
      | ask  | engine  | Retry-After: 3.5 | 6     | 6    |
      | ask  | first   | Retry-After: 3   | 6     | 6    |

  # Guards against callers that wait for a server which has said that it takes nothing.
  Scenario: All servers of a service ask for a pause
    Given 3 entry nodes and 3 servers of each service
    And 3 full server of "plain" sends "Retry-After: 3" in its responses
    When 24 requests a second for "read" are sent to all nodes for 4 s, and nothing happens
    Then refusals come within 0.4 s
    And the last refusals name a time to return of at least 0.3 s
