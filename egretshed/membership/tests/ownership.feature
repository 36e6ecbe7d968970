Feature: Owners and lending shares are safe in every partition

  # Guards against loans whose sum exceeds a cold server's limit (P2).
  Scenario Outline: <cut_off> of <nodes> nodes are cut off; both sides lend <limit> at most
    Given a settled fleet of <nodes> nodes in 1 regions
    When <cut_off> of the nodes are partitioned from the others
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

  # Guards against owners that are far from their replica or leaving.
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

  # Guards against sending callers to a node that is stopping (P8).
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

  # Guards against sending all callers of the same second to one node.
  Scenario: Addresses are spread, with near nodes under low load preferred
    Given a settled fleet of 8 nodes in 2 regions
    And entry-3 has a load of 900 thousandths
    When 30 s pass
    And 2000 callers ask entry-1 for 3 addresses
    Then each r1 node except entry-3 is the first address of 20 to 50 percent of callers
    And the first address is entry-3 for 0.5 to 10 percent of callers
    And the first address is in region r2 for less than 10 percent of callers
    And each caller got 3 different addresses
