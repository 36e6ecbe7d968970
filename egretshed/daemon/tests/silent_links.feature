Feature: The link of a sound server falls silent and comes back

  # Guards against this side's kernel ending the connections of servers that go on.
  Scenario Outline: <route> requests, links silent for <silent_s> s <place>
    Given 3 entry nodes with a retry slack of 54 and 3 servers of each service
    When 6 "<route>" requests are sent while the links of "<service>" fall silent for <silent_s> s <place>
    Then each is answered whole, and ran once

    Examples:
      | route | service | silent_s | place                |
      | book  | plain   | 1.0      | as they are sent     |
      | book  | plain   | 1.5      | before the response  |
      | ask   | engine  | 1.0      | as they are sent     |
      | ask   | engine  | 1.5      | before the response  |
      | ask   | engine  | 1.5      | within the response  |
      | ask   | engine  | 2.0      | within the response  |

  # Guards against the same for requests that may be sent to a second server.
  Scenario Outline: Repeatable <route> requests, links silent for <silent_s> s <place>
    Given 3 entry nodes with a retry slack of 54 and 3 servers of each service
    When 6 "<route>" requests are sent while the links of "<service>" fall silent for <silent_s> s <place>
    Then each is answered whole

    Examples:
      | route  | service | silent_s | place                |
      | read   | plain   | 1.0      | as they are sent     |
      | read   | plain   | 1.5      | before the response  |
      | digest | engine  | 1.0      | as they are sent     |
      | digest | engine  | 1.5      | before the response  |
      | digest | engine  | 1.5      | within the response  |
