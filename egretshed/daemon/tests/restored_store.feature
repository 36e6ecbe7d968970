Feature: Nodes follow a store that was restored from an older copy

  # Guards against nodes that start after the store lost their list and their key, and
  # can neither find nor authenticate the others.
  Scenario: The store is restored from a copy without any row of the nodes
    Given 3 entry nodes and 3 servers of each service
    And a copy of the store is made without the rows of the nodes
    When the store is away for 1 s and is restored from the copy
    And one node is replaced
    Then each node names the addresses of all nodes

  # Guards against nodes that ignore a restored store, whose versions are lower than those
  # they have seen, or that take rows of the copy for newer ones.
  Scenario Outline: The store is restored, and <event>
    Given 3 entry nodes and 3 servers of each service
    And a copy of the store is made before <lost>
    When the store is away for 1 s and is restored from the copy
    And the operator and the servers write again what was lost
    And <event>
    Then within 2 s all nodes <outcome>

    Examples:
      | lost                        | event                       | outcome                        |
      | 1 change of configuration   | a route is added            | serve the route "late"         |
      | 1 change of configuration   | 6 servers start one by one  | serve the route "lost"         |
      | a server leaves             | nothing else happens        | send nothing to that server    |
      | a domain is taken out       | nothing else happens        | send nothing to that domain    |

    Examples: fewer writes after the return than were lost
      | lost                        | event                       | outcome                        |
      | 12 changes of configuration | a route is added            | serve the route "late"         |
      | 12 changes of configuration | a route is removed          | refuse the route "read"        |
      | 12 changes of configuration | a server leaves             | send nothing to that server    |
