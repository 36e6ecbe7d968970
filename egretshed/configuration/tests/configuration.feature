Feature: An accepted configuration becomes active on every node and is never rolled back

  # Guards against a node that keeps an old version because an offer, a reply or a table
  # read was lost, delayed or duplicated (P9).
  Scenario Outline: A change is active on every node within <bound_s> s when <fault>
    Given 7 nodes with an empty configuration
    When <fault>
    And entry-1 adds the model "m"
    Then the change is accepted as version 1
    When <bound_s> s pass
    Then version 1 is active on every running node

    Examples:
      | fault                                     | bound_s |
      | nothing fails                             | 0.1     |
      | entry-1 cannot offer to any node          | 2       |
      | every message is delivered twice          | 0.1     |
      | messages take 0.3 s                       | 2       |
      | the table fails right after the change    | 2       |
      | the reply to the change is lost           | 2       |
      | the change is lost before the table       | 2       |

  # Guards against two concurrent changes of one version that are both reported as
  # accepted although only one of them is written.
  Scenario: Of two concurrent changes one is refused with the conflicting change
    Given 7 nodes with an empty configuration
    When entry-1 and entry-2 change the model "m" at the same time
    Then one change is accepted as version 1
    And the other is refused with the operator and "models/m"

  # Guards against a change that is reported as refused but becomes active, and against
  # an error code that does not state the reason.
  Scenario Outline: A request <change> is refused with <code> when <fault>
    Given 7 nodes with an empty configuration
    When <fault>
    And entry-1 is asked <change>
    Then the change is refused with <code>
    When all faults end
    And 5 s pass
    Then version 0 is active on every running node

    Examples:
      | fault             | change                     | code                  |
      | the table is down | to add the model "m"       | table_unavailable     |
      | nothing fails     | to add a pool with a fault | configuration_invalid |
      | nothing fails     | to remove an unknown model | configuration_invalid |
      | nothing fails     | nothing                    | configuration_invalid |
      | nothing fails     | a too large change         | configuration_invalid |
      | nothing fails     | a change of version 5      | version_conflict      |

  # Guards against a lost reply that is reported as success or failure while the table
  # cannot be read back.
  Scenario: A change whose outcome cannot be read back is reported as unknown
    Given 7 nodes with an empty configuration
    When the table fails during a change of model "m" by entry-1
    Then the change is refused with table_outcome_unknown
    When all faults end
    And 5 s pass
    Then version 1 is active on every running node

  # Guards against a node that serves with an old version after a restart (P9).
  Scenario Outline: A node that starts when <how> <result>
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

  # Guards against new work with a version that may be out of date, since neither the
  # table nor a peer has confirmed it recently (P3).
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

  # Guards against a revert that decreases the version (P9).
  Scenario: A revert writes the objects of an earlier version as a new version
    Given 7 nodes with 3 versions
    When entry-2 reverts to version 1
    Then the change is accepted as version 4
    When 2 s pass
    Then version 4 is active on every running node
    And the objects of version 4 are those of version 1
    And the history lists versions 4, 3, 2, 1

  # Guards against a start that misses the rows after the first page of a scan, or the
  # changes that are written during the scan.
  Scenario: A large configuration is loaded while it changes
    Given 7 nodes with an empty configuration
    When 1200 models are added in one change
    And entry-3 restarts during a change of model "m" by entry-1
    And 3 s pass
    Then version 2 is active on every running node
    And every running node has 1201 models

  # Guards against a node that cannot catch up because its peers no longer keep the
  # deltas that it lacks.
  Scenario: A node that lacks more versions than peers keep gets a snapshot
    Given 7 nodes with an empty configuration
    When entry-7 is cut off from peers and the table
    And 300 changes are made
    And all faults end
    And 10 s pass
    Then version 300 is active on every running node
    And the versions of every process only increased

  # Guards against an incremental build that differs from a full build of the same
  # objects.
  Scenario Outline: An incremental build of a snapshot avoids <failure>
    Given the objects {"failure_domains/a": {"region": "r", "out": false}, "models/m": {"version": "1"}}
    When the changes <changes> are applied to them
    Then the incremental snapshot is <result>, as is a full build

    Examples:
      | failure                           | changes                                        | result  |
      | a changed body left as it was     | {"models/m": {"version": "2"}}                 | valid   |
      | an added object left out          | {"models/n": {"version": "1"}}                 | valid   |
      | a removed object kept             | {"models/m": null}                             | valid   |
      | an equal value of a wrong type    | {"failure_domains/a": {"region": "r", "out": 0}} | invalid |
      | a reference that no longer exists | {"kinds/k": {"deadline_s": 1, "service": "p"}} | invalid |
