Feature: A change of the configuration leaves no request without an answer

  # Guards against requests that are read and dropped, or refused, on connections that were
  # open as the configuration changed, and against connections that are closed although
  # the limits in force let their callers reuse them.
  Scenario Outline: <changed> change each 0.1 s beside 36 callers on kept connections
    Given 3 entry nodes and 3 servers of each service
    When 36 callers send requests for 8 s while <changed> change each 0.1 s
    Then every request got an answer
    And none was answered as if it broke a limit or no route or key existed
    And no connection was closed while its caller could reuse it
    And at least <least> requests were answered whole

    Examples:
      | changed                                      | least |
      | weights, timeouts                            | 200   |
      | routes, customers                            | 200   |
      | limits                                       | 200   |
      | weights, timeouts, routes, customers, limits | 200   |
