Feature: A node that was out of step joins no streams of two versions

  # Guards against a node that takes an unknown stream for one of the only version that it
  # knew before it stood still or was cut off, while servers of another version began it.
  # Service must go on: known streams, and all where only one version has served. A node
  # that stood still for 1 s may find notices of the streams that waited in its sockets.
  Scenario Outline: <node> is out of step by <kind> for <for_s> s, <meanwhile>, others <fate>
    Given 3 entry nodes of which "<node>" will be out of step, by <kind>
    When it is out of step for <for_s> s, <meanwhile>, and the nodes that know the streams are <fate>
    Then no stream is joined from two versions
    And those that began at v1 <of_v1>
    And those that began at v2 <of_v2>

    Examples: the process is stopped
      | node   | kind           | for_s | meanwhile             | fate   | of_v1                | of_v2                |
      | node-2 | standing still | 1     | v2 joined             | killed | go on or are refused | go on or are refused |
      | node-2 | standing still | 1     | v2 joined             | alive  | go on                | go on                |
      | node-2 | standing still | 2.5   | v2 joined             | alive  | go on                | go on                |
      | node-2 | standing still | 4     | v2 joined             | alive  | go on                | go on                |
      | node-2 | standing still | 2.5   | v2 joined and v2 left | alive  | go on                | go on or are refused |
      | node-2 | standing still | 2.5   | v2 joined and v1 left | alive  | do not exist         | go on                |
      | node-2 | standing still | 2.5   | nothing happened      | killed | go on                | do not exist         |
      | node-2 | standing still | 2.5   | nothing happened      | alive  | go on                | do not exist         |

    Examples: the node is cut off
      | node   | kind                | for_s | meanwhile        | fate   | of_v1       | of_v2        |
      | node-2 | a cut store         | 2.5   | v2 joined        | killed | go on       | go on        |
      | node-2 | a cut store         | 2.5   | v2 joined        | alive  | go on       | go on        |
      | node-2 | cut peers           | 2.5   | v2 joined        | killed | are refused | are refused  |
      | node-2 | cut peers           | 2.5   | nothing happened | killed | go on       | do not exist |
      | node-2 | cut peers and store | 2.5   | nothing happened | killed | go on       | do not exist |

    Examples: nobody who could be asked knows the streams
      | node   | kind                | for_s | meanwhile             | fate   | of_v1        | of_v2       |
      | node-2 | standing still      | 2.5   | v2 joined             | killed | are refused  | are refused |
      | node-2 | standing still      | 4     | v2 joined             | killed | are refused  | are refused |
      | node-1 | standing still      | 4     | v2 joined             | killed | are refused  | are refused |
      | node-2 | standing still      | 2.5   | v2 joined and v2 left | killed | are refused  | are refused |
      | node-2 | standing still      | 2.5   | v2 joined and v1 left | killed | do not exist | are refused |
      | node-2 | standing still      | 4     | v2 joined and v2 left and the store lost its history | killed | are refused | are refused |
      | node-2 | cut peers and store | 2.5   | v2 joined             | killed | are refused  | are refused |
      | node-2 | cut peers and store | 2.5   | v2 joined and v2 left | killed | are refused  | are refused |
      | node-2 | cut peers and store | 2.5   | v2 joined and v1 left | killed | do not exist | are refused |
      | node-2 | cut peers and store | 2.5   | v2 joined             | alive  | are refused  | are refused |
