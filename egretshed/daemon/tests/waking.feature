Feature: A node that stood still decides by what has changed meanwhile

  # Guards against requests that waited while the node stood still, and are decided by
  # what it knew before: sent to servers that left, or to a domain that was evacuated, or
  # handled by an older configuration.
  Scenario Outline: "node-2" stands still for <for_s> s, and <event>
    Given 3 entry nodes and 3 servers of each service
    When "node-2" stands still for <for_s> s, <event>, and 20 "<route>" requests wait
    Then none of them reaches a server that may not get it
    And they are answered <status>

    Examples:
      | for_s | event                     | route | status |
      | 1.5   | a server leaves           | read  | 200    |
      | 2.5   | a server leaves           | read  | 200    |
      | 2.5   | a server leaves           | book  | 200    |
      | 2.5   | a server leaves           | ask   | 200    |
      | 2.5   | a domain is evacuated     | read  | 200    |
      | 2.5   | a domain is evacuated     | ask   | 200    |
      | 2.5   | the route is dropped      | read  | 404    |
      | 2.5   | the key is revoked        | book  | 401    |
      | 2.5   | the store falls silent    | read  | 200    |
      | 2.5   | nothing else happens      | book  | 200    |
