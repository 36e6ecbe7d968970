Feature: A stream stays at the software version that began it

  # Guards against a stream that is taken up at another version, and against one that is
  # refused although its version is known and served.
  Scenario Outline: Engines <versions>, <event>, taken up at <node> naming <named>
    Given 3 entry nodes and 3 servers of each service
    And the engines have the versions "<versions>"
    And a caller has 2 events of a stream that began at "node-0" with "v1"
    When the following happens: <event>
    And the caller takes it up at "<node>", naming <named>
    Then the stream <outcome>

    Examples: known
      | versions | event                            | node   | named | outcome    |
      | v1 v1 v2 | nothing                          | node-0 | it    | goes on    |
      | v1 v1 v2 | nothing                          | node-1 | it    | goes on    |
      | v1 v1 v2 | the node that began it is killed | node-2 | it    | goes on    |
      | v1 v1 v2 | another node is silent           | node-2 | it    | goes on    |
      | v1 v1 v2 | its server restarts with v2      | node-1 | it    | goes on    |
      | v1 v1 v1 | its server restarts with v2      | node-1 | it    | goes on    |
      | v1 v1 v2 | it turns out that it had v2      | node-1 | it    | is refused |
      | v1 v1 v2 | the servers of v1 leave          | node-1 | it    | is refused |

    Examples: unknown
      | versions | event             | node   | named          | outcome    |
      | v1 v1 v2 | all nodes restart | node-1 | it             | is refused |
      | v1 v1 v1 | all nodes restart | node-1 | it             | goes on    |
      | v1 v1 v2 | all nodes restart while those of v1 leave | node-1 | it | is refused |
      | v1 v1 v2 | all nodes restart while those of v1 leave, and 25 s pass | node-1 | it | is refused |
      | v1 v1 v2 | nothing           | node-1 | nothing        | is refused |
      | v1 v1 v2 | nothing           | node-1 | an unknown id  | is refused |
      | v1 v1 v2 | nothing           | node-1 | itself         | is refused |
      | v1 v1 v2 | nothing           | node-1 | a malformed id | is refused |
      | v1 v1 v1 | nothing           | node-1 | nothing        | goes on    |

    Examples: restarts that the list does not show
      | versions | event                                 | node   | named | outcome       |
      | v1 v1 v2 | the server that goes on had restarted | node-1 | it    | is broken off |
      | v1 v1 v2 | its server had restarted before       | node-1 | it    | is broken off |
      | v1 v1 v2 | its server restarts after             | node-1 | it    | goes on       |

    Examples: while the store is away
      | versions | event                                             | node   | named | outcome    |
      | v1 v1 v2 | the store is away                                 | node-1 | it    | goes on    |
      | v1 v1 v2 | the store is away and its server had restarted    | node-1 | it    | is refused |
      | v1 v1 v2 | the store is away and its server is lost          | node-1 | it    | is refused |
      | v1 v1 v2 | another begins while the store is away for a time | node-1 | it    | goes on    |

  # Guards against a node that continues a cut stream at a server of another version.
  Scenario: A node continues cut streams itself
    Given 3 entry nodes and 4 servers of each service
    And the engines have the versions "v1 v1 v2 v2"
    And one engine of each version cuts its streams midway
    When 30 streams are requested
    Then none has events of two versions, and at least 15 are whole
