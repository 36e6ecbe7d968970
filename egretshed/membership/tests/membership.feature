Feature: Every node detects which nodes are alive under all faults

  # Guards against member views that differ from the running nodes, which would assign
  # replicas to the wrong owners.
  Scenario Outline: The view recovers after <fault>
    Given a settled fleet of 6 nodes in 2 regions
    When <fault>
    And <down_s> s pass
    Then every running node reaches <during> nodes
    When all faults end
    And 15 s pass
    Then every running node reaches <after> nodes
    And every running node is settled

    Examples:
      | fault                                | down_s | during | after |
      | entry-2 crashes                      | 6      | 5      | 5     |
      | entry-2 restarts                     | 3      | 6      | 6     |
      | the regions are separated            | 10     | 3      | 6     |
      | entry-1 cannot send to entry-2       | 8      | 6      | 6     |
      | every message is delivered twice     | 5      | 6      | 6     |
      | the VM list is down                  | 10     | 6      | 6     |
      | messages to entry-3 take 0.15 s      | 8      | 6      | 6     |

  # Guards against a removed VM that is never dropped from the member view.
  Scenario: A dead node that is no longer listed is forgotten
    Given a settled fleet of 4 nodes in 1 regions
    When entry-4 crashes
    And only entry-1, entry-2, entry-3 are listed
    And 90 s pass
    Then no node knows entry-4

  # Guards against two processes that act under the same node id (P6, P2).
  Scenario: A process whose node id was taken over stops serving
    Given a settled fleet of 4 nodes in 1 regions
    When entry-2 restarts while the old process keeps running
    And 5 s pass
    Then the old process of entry-2 is superseded
    And the old process of entry-2 owns no replica and hands out no address
    And entry-1 rejects messages from incarnation 1 of entry-2

  # Guards against lending by a node that was paused while others took over (P2).
  Scenario Outline: A node is settled right after a pause of <pause_s> s: <settled>
    Given a settled fleet of 4 nodes in 1 regions
    When entry-2 is paused for <pause_s> s
    Then the settled state of entry-2 is <settled>
    When 4 s pass
    Then the settled state of entry-2 is True

    Examples:
      | pause_s | settled |
      | 0.5     | True    |
      | 1.5     | False   |
      | 30      | False   |

  # Guards against a node that acts on an empty member view right after its start (P2).
  Scenario: A starting node is not settled and lends nothing without a VM list
    Given the VM list is down
    And a fleet of 3 nodes that has just started
    Then the settled state of entry-1 is False
    And entry-1 may lend 0 of 2 slots in region r1
    When 10 s pass
    Then entry-1 may lend 0 of 2 slots in region r1

  # Guards against probes whose size grows with the fleet.
  Scenario: A probe carries a bounded number of updates
    Given a settled fleet of 20 nodes in 1 regions
    Then no probe carried more than 6 updates

  # Guards against a new owner that lends while the previous one has not detected the
  # change of owner yet (P2).
  Scenario Outline: All of <nodes> nodes detect a death within the detection bound
    Given a settled fleet of <nodes> nodes in 2 regions
    When entry-<number> crashes
    And the detection bound of entry-1 passes
    Then no running node reaches entry-<number>

    Examples:
      | nodes | number |
      | 7     | 3      |
      | 7     | 6      |
      | 28    | 5      |
      | 28    | 20     |
