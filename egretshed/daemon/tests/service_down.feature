Feature: A service whose servers are all down for a while

  # Guards against requests that try refused connections again without a pause: they use
  # the processor, push other lines out of the log, and are no sooner served.
  Scenario Outline: All servers of a service crash before <route> requests
    Given 3 entry nodes and 2 servers of each service
    When all servers of "<service>" crash and 12 "<route>" requests are sent to all nodes
    Then each of them is answered 200
    And each tries to send at most <most> times a second

    Examples:
      | route  | service | most |
      | read   | plain   | 25   |
      | book   | plain   | 25   |
      | ask    | engine  | 25   |
