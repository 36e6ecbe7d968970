Feature: Owners and lending shares are safe in every partition

  # Guards against loans that together exceed a cold server's limit (P2).
  Scenario Outline: Both sides of a cut of <cut_off> lend at most <limit> of <nodes> nodes
    Given a settled fleet of <nodes> nodes in 1 regions
    When <cut_off> of the nodes are cut off from the rest
    And <after_s> s pass
    Then the nodes on both sides together may lend at most <limit> of <limit> slots

    Examples:
      | nodes | cut_off | limit | after_s |
      | 7     | 1       | 2     | 7       |
      | 7     | 3       | 2     | 7       |
      | 8     | 4       | 1     | 7       |
      | 8     | 4       | 3     | 7       |
      | 9     | 4       | 5     | 7       |
      | 28    | 1       | 2     | 7       |

  # Guards against an owner far from its replica, or a leaving owner.
  Scenario Outline: The owner of a replica in r1:a is chosen <place> when <fault>
    Given a settled fleet of 6 nodes in 2 regions
    When <fault>
    And 6 s pass
    Then the owner of a replica in r1:a is one of <owners> for every node

    Examples:
      | place         | fault                             | owners           |
      | by domain     | nothing fails                     | entry-1, entry-3 |
      | by domain     | entry-1 crashes                   | entry-3          |
      | by domain     | entry-1 leaves                    | entry-3          |
      | by domain     | the list shows entry-1 as leaving | entry-3          |
      | by region     | entry-1 and entry-3 crash         | entry-5          |
      | anywhere      | entry-1, entry-3, entry-5 crash   | entry-2, entry-4, entry-6 |

  # Guards against callers that are sent to a node about to end (P8).
  Scenario Outline: No address of entry-1 is handed out after <fault>
    Given a settled fleet of 6 nodes in 1 regions
    When <fault>
    And 6 s pass
    Then no node hands out entry-1
    And every other running node is handed out by entry-2

    Examples:
      | fault                             |
      | entry-1 leaves                    |
      | entry-1 crashes                   |
      | the list shows entry-1 as leaving |

  # Guards against callers of the same second who all go to one node.
  Scenario: Addresses spread callers and prefer near nodes with little load
    Given a settled fleet of 8 nodes in 2 regions
    And entry-3 has a load of 900 thousandths
    When 30 s pass
    And 2000 callers ask entry-1 for 3 addresses
    Then each first address of region r1 but entry-3 goes to 20 to 50 percent
    And entry-3 goes to 0.5 to 10 percent
    And less than 10 percent are sent first to region r2
    And each caller got 3 different addresses
