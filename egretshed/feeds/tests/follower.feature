Feature: A followed table matches the store, also after failures

  # Guards against missed changes when the store loses its history or is down, against
  # removed rows that are kept, and against rows that revert to older versions.
  Scenario Outline: <case>
    Given a store table with rows a=1 b=2 that is followed
    When <events>
    Then within <limit> s the follower has rows "<rows>"

    Examples:
      | case                           | events                                       | limit | rows      |
      | first read                     | nothing happens                              | 0.1   | a=1 b=2   |
      | a row is changed               | a=5 is written                               | 0.1   | a=5 b=2   |
      | a row is removed               | a is removed                                 | 0.1   | b=2       |
      | changed while history is lost  | history is lost and c=3 is written           | 0.2   | a=1 b=2 c=3 |
      | removed while history is lost  | history is lost and a is removed             | 0.2   | b=2       |
      | changed while the store is away | the store is away for 3 s and a=7 is written | 5     | a=7 b=2   |
      | changed while the store is silent | the store is silent for 8 s and a=9 is written | 9.4 | a=9 b=2   |
      | the feed is silent             | the feed is silent and a=8 is written        | 4     | a=8 b=2   |

  # Guards against a node without access to the store that never receives changes, and
  # against replacing state by state of a peer that is not newer.
  Scenario Outline: A peer has the table at version <theirs>, this node at <ours>
    Given a follower at version <ours>
    When a peer offers the table at version <theirs>
    Then the peer's state is applied: <taken>

    Examples:
      | ours | theirs | taken |
      | 5    | 6      | yes   |
      | 5    | 5      | no    |
      | 5    | 4      | no    |

  # Guards against a peer that gets changes with versions missing, because the history
  # begins later than its start is said to be.
  Scenario Outline: A follower gets <first> and then <then> changed rows
    Given a follower that kept the changes of <first> and then <then> rows
    When a peer that has every version up to <theirs> asks for the changes
    Then the peer has all rows afterwards

    Examples:
      | first | then | theirs |
      | 999   | 50   | 10     |
      | 999   | 50   | 48     |
      | 999   | 50   | 49     |
      | 500   | 600  | 99     |
      | 500   | 600  | 300    |
      | 10    | 5    | 3      |

  # Guards against old state of a peer that counts as confirmed at the time of its arrival,
  # and against a report that changes were applied on which nothing was based.
  Scenario Outline: A peer offers <what> that it had confirmed <age> s ago
    Given a follower that has <known>
    When a peer offers <what> that it had confirmed <age> s ago
    Then the peer's state is applied: <taken>
    And the age of the follower's state is <result> s

    Examples:
      | known          | what         | age | taken | result |
      | nothing        | all rows     | 4   | yes   | 4      |
      | nothing        | changed rows | 4   | no    | inf    |
      | an older state | changed rows | 2   | yes   | 2      |

  # Guards against nodes that are refused by the store and stay stale although a peer has
  # the current rows, and against background tasks that end at the first error.
  Scenario Outline: The store serves only "node-1"; <change>
    Given 3 nodes that follow a store table with rows a=1 b=2
    When after "<change>" the store serves only "node-1"
    Then within <limit> s every node has rows "<rows>"
    And no peer was sent a row that it already had, or 2 kB for one row

    Examples:
      | change                                 | limit | rows    |
      | a=large is written                     | 3     | a=large b=2 |
      | a=5 is written                         | 3     | a=5 b=2 |
      | a is removed                           | 3     | b=2     |
      | a is removed and node-1 starts anew    | 3     | b=2     |

  # Guards against every node reading the configuration over a slow link after a power
  # failure, and against nodes that keep waiting for a peer that does not run.
  Scenario Outline: A fleet starts with links of <links> Mbit/s, node-1 is <state>
    Given 3 nodes that follow a store table with rows a=1 b=2
    When all nodes restart with links of <links> Mbit/s while node-1 is <state>
    Then all running nodes have rows "a=1 b=2" and "<readers>" read the store

    Examples:
      | links          | state   | readers              |
      | 1000 1000 1000 | running | node-1 node-2 node-3 |
      | 200 10 10      | running | node-1 node-2        |
      | 200 10 10      | gone    | node-2 node-3        |

  # Guards against a large fleet that asks the store for every change while its nodes do
  # not know yet which of them reads the store for the others.
  Scenario Outline: Peers are known <wait> s after the start, with <period> s between changes
    Given 3 nodes that follow a store table with rows a=1 b=2
    When peers are known <wait> s after the start, with <period> s between changes
    Then nodes that do not read for others called the store at most <calls> times each
    And every node has the last change within 1 s

    Examples:
      | wait | period | calls |
      | 0    | 0.1    | 1     |
      | 3    | 0.1    | 1     |
      | 3    | 1      | 1     |
      | 10   | 0.5    | 1     |

  # Guards against full reads in a tight loop from a store that loses its history again
  # after each of them.
  Scenario: The store keeps losing its history
    Given a store table with rows a=1 b=2 that is followed
    When the store keeps losing its history for 6 s
    Then the full table was read at most 20 times

  # Guards against a change that is delayed for seconds because a node happens to select
  # the same readers again that have lost the store.
  Scenario: Readers are asked in round-robin order
    Given a node that follows the readers "r1 r2 r3 r4 r5"
    When it asks for changes 10 times
    Then no reader was asked again before all others were asked

  # Guards against a store that is flooded by the retries of a large fleet, and against
  # nodes that learn of its return too late.
  Scenario Outline: <nodes> nodes retry a store that is down
    Given a fleet of <nodes> nodes without a reader
    Then they retry the store at most <most> times/s together, each within <period> s

    Examples:
      | nodes | most | period |
      | 7     | 5    | 1.5    |
      | 72    | 48   | 1.5    |
      | 195   | 67   | 3      |
      | 357   | 67   | 5.4    |
