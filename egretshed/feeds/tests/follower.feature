Feature: A followed table is what the store said last, also after trouble

  # Guards against changes that are missed when history is lost or the store is away,
  # against rows that stay after they were removed, and against going back.
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

  # Guards against a node that the store does not serve and that never learns of changes.
  Scenario Outline: A peer has the table at version <theirs>, this node at <ours>
    Given a follower at version <ours>
    When a peer offers the table at version <theirs>
    Then it is taken over: <taken>

    Examples:
      | ours | theirs | taken |
      | 5    | 6      | yes   |
      | 5    | 5      | no    |
      | 5    | 4      | no    |

  # Guards against nodes that the store turns away and that stay behind although a peer
  # knows what is in force, and against a background task that ends at the first trouble.
  Scenario Outline: The store serves only "node-1"; <change>
    Given 3 nodes that follow a store table with rows a=1 b=2
    When after "<change>" the store serves only "node-1"
    Then within <limit> s every node has rows "<rows>"
    And no peer was sent a row that it had, nor 2 kB for one row

    Examples:
      | change                                 | limit | rows    |
      | a=large is written                     | 3     | a=large b=2 |
      | a=5 is written                         | 3     | a=5 b=2 |
      | a is removed                           | 3     | b=2     |
      | a is removed and node-1 starts anew    | 3     | b=2     |

  # Guards against a configuration that all nodes read over slow links after a loss of
  # power, and against nodes that wait for a peer that is not there.
  Scenario Outline: A fleet starts with links of <links> Mbit/s, node-1 is <state>
    Given 3 nodes that follow a store table with rows a=1 b=2
    When all start anew, with links of <links> Mbit/s, and node-1 is <state>
    Then all that run have rows "a=1 b=2", and "<readers>" read the store

    Examples:
      | links          | state   | readers              |
      | 1000 1000 1000 | running | node-1 node-2 node-3 |
      | 200 10 10      | running | node-1 node-2        |
      | 200 10 10      | gone    | node-2 node-3        |

  # Guards against a node that reads a table without a pause from a store that never has
  # the history for it.
  Scenario: The store forgets its history all the time
    Given a store table with rows a=1 b=2 that is followed
    When the store forgets its history all the time for 6 s
    Then the table was read 20 times at most

  # Guards against a change that a node misses for seconds because it asks, by chance, the
  # same readers again that were cut off from the store.
  Scenario: Readers are asked in turn
    Given a node that follows the readers "r1 r2 r3 r4 r5"
    When it asks for changes 10 times
    Then each of them was asked once before any was asked again
