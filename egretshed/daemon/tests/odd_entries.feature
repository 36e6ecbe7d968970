Feature: Odd rows of other writers in the list of servers

  # Guards against a node that ends, no longer follows the list, or fails requests because
  # another writer left one entry that no server has written.
  Scenario Outline: An entry with <oddity>
    Given 3 entry nodes and 2 servers of each service
    When an entry with <oddity> is written, and then one server of "plain" leaves
    Then 30 "read" requests are all answered 200, at the server that is left
    And no node has ended or logged a fault

    Examples:
      | oddity                        |
      | a port out of range           |
      | a host name                   |
      | a number too large            |
      | a deeply nested unknown field |
      | deeply nested lists           |
      | brackets that do not match    |
      | bytes that are no text        |
      | null                          |
