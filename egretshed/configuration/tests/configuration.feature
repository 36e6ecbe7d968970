Feature: An accepted configuration is in force everywhere and never reverts

  # Guards against a node that runs on with an old version (P9).
  Scenario Outline: A change reaches every node within <bound_s> s when <fault>
    Given 7 nodes with an empty configuration
    When <fault>
    And entry-1 adds the model "m"
    Then the change is accepted as version 1
    When <bound_s> s pass
    Then every running node has version 1 in force

    Examples:
      | fault                                     | bound_s |
      | nothing fails                             | 0.1     |
      | entry-1 cannot offer to any node          | 2       |
      | every message is delivered twice          | 0.1     |
      | messages take 0.3 s                       | 2       |
      | the table fails right after the change    | 2       |
      | the reply to the change is lost           | 2       |
      | the change is lost before the table       | 2       |

  # Guards against two operators who each believe that their change is in force.
  Scenario: Of two racing changes one is refused with who and what it conflicts with
    Given 7 nodes with an empty configuration
    When entry-1 and entry-2 change the model "m" at the same time
    Then one change is accepted as version 1
    And the other is refused naming the operator and "models/m"

  # Guards against an untrue answer to the operator.
  Scenario Outline: A change is refused truthfully when <fault>
    Given 7 nodes with an empty configuration
    When <fault>
    And entry-1 is asked <change>
    Then the change is refused with <code>
    When all faults end
    And 5 s pass
    Then every running node has version 0 in force

    Examples:
      | fault             | change                     | code                  |
      | the table is down | to add the model "m"       | table_unavailable     |
      | nothing fails     | to add a pool with a fault | configuration_invalid |
      | nothing fails     | to remove an unknown model | configuration_invalid |
      | nothing fails     | nothing                    | configuration_invalid |
      | nothing fails     | a too large change         | configuration_invalid |
      | nothing fails     | a change of version 5      | version_conflict      |

  # Guards against a table that does not tell, reported as success or failure.
  Scenario: A change whose outcome cannot be read back is reported as unknown
    Given 7 nodes with an empty configuration
    When the table ends with a change of model "m" by entry-1
    Then the change is refused with table_outcome_unknown
    When all faults end
    And 5 s pass
    Then every running node has version 1 in force

  # Guards against serving with an old version after a restart (P9).
  Scenario Outline: A node that starts <how> <result>
    Given 7 nodes with 3 versions
    When <how>
    And entry-4 restarts
    And 4 s pass
    Then entry-4 is ready: <ready>

    Examples:
      | how                                 | ready | result                  |
      | nothing fails                       | True  | learns from the table   |
      | the table is down                   | True  | learns from peers       |
      | the table is down and entry-4 alone | False | does not serve          |

  # Guards against new work on a version that may be out of date (P3).
  Scenario Outline: A node without <contact> is fresh: <fresh>
    Given 7 nodes with 3 versions
    When <contact> is lost for entry-4
    And 6 s pass
    Then entry-4 is fresh: <fresh>

    Examples:
      | contact                | fresh |
      | the table              | True  |
      | the peers              | True  |
      | the table and peers    | False |

  # Guards against a return to earlier content that lowers the version (P9).
  Scenario: Earlier content comes back as a new version
    Given 7 nodes with 3 versions
    When entry-2 reverts to version 1
    Then the change is accepted as version 4
    When 2 s pass
    Then every running node has version 4 in force
    And the objects of version 4 are those of version 1
    And the history names versions 4, 3, 2, 1

  # Guards against a start that misses rows beyond one page, or changes made meanwhile.
  Scenario: A large configuration is loaded while it changes
    Given 7 nodes with an empty configuration
    When 1200 models are added in one change
    And a restart of entry-3 meets a change of model "m" by entry-1
    And 3 s pass
    Then every running node has version 2 in force
    And every running node has 1201 models

  # Guards against a node that was away for longer than deltas are kept.
  Scenario: A node far behind gets a snapshot
    Given 7 nodes with an empty configuration
    When entry-7 is cut off from peers and the table
    And 300 changes are made
    And all faults end
    And 10 s pass
    Then every running node has version 300 in force
    And every process saw only rising versions

  Scenario Outline: A snapshot built on an earlier one guards against <failure>
    Given the objects {"failure_domains/a": {"region": "r", "out": false}, "models/m": {"version": "1"}}
    When the changes <changes> are applied to them
    Then the snapshot built on the earlier one is <result>, as one built whole

    Examples:
      | failure                           | changes                                        | result  |
      | a changed body left as it was     | {"models/m": {"version": "2"}}                 | valid   |
      | an added object left out          | {"models/n": {"version": "1"}}                 | valid   |
      | a removed object kept             | {"models/m": null}                             | valid   |
      | an equal value of a wrong type    | {"failure_domains/a": {"region": "r", "out": 0}} | invalid |
      | a reference that no longer exists | {"kinds/k": {"deadline_s": 1, "service": "p"}} | invalid |
