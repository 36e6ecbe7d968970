Feature: Duties are assigned to VMs with enough capacity

  # Guards against a fleet-wide duty on a VM with a slow link, and against reassigned
  # duties when an unrelated node joins or leaves.
  Scenario Outline: 200 duties over <nodes>
    Given nodes <nodes>
    When 200 duties are ranked
    Then "<small>" has between <least> and <most> of them
    And without "<gone>" only its duties are reassigned

    # Nodes: name:cores:link in Mbit/s
    Examples:
      | nodes                               | small | least | most | gone |
      | a:1:1000 b:1:1000 c:1:1000 d:1:1000 | a     | 30    | 70   | b    |
      | a:2:5 b:2:100 c:2:100 d:2:100       | a     | 0     | 4    | b    |
      | a:0.5:100 b:2:100 c:2:100 d:2:100   | a     | 0     | 1    | c    |
      | a:1:100 b:2:100 c:2:100 d:2:100     | a     | 0     | 4    | c    |
      | a:0.5:5 b:0.5:5 c:0.5:5 d:0.5:5     | a     | 30    | 70   | d    |

  # Guards against many small VMs that together own most duties of a large fleet.
  Scenario Outline: <large> large VMs among <small> of <cores> cores and <link> Mbit/s
    Given <large> VMs of 2.2 cores and 200 Mbit/s, and <small> of <cores> and <link>
    When 200 duties are ranked
    Then the small VMs own at most <most> of them

    Examples:
      | large | small | cores | link | most |
      | 15    | 180   | 0.5   | 20   | 0    |
      | 15    | 180   | 0.5   | 100  | 4    |
      | 3     | 350   | 0.5   | 100  | 16   |
      | 0     | 180   | 0.5   | 20   | 200  |

  # Guards against a small VM that joined and is ranked without its cores and link speed,
  # and against every node reading the list every few seconds.
  Scenario Outline: The list of nodes is read every 20 s, and <what>
    When 12 s pass and <what>
    Then the list was read <least> to <most> times after the start

    Examples:
      | what                        | least | most |
      | nothing happens             | 0     | 0    |
      | a node joins after 1 s      | 1     | 1    |
      | an unlisted node is reached | 1     | 3    |

  # Guards against a mass start after which every node owns every duty, and against
  # duties that stay assigned to stopped nodes.
  Scenario Outline: A node that knows "<known>" ranks nodes <age> s after its start
    Given listed nodes "n1 n2 n3", of which "n1" knows "<known>" and "<gone>" has stopped
    When "n1" ranks the nodes for a duty <age> s after its start
    Then the ranked nodes are "<ranked>"

    Examples:
      | age | known    | gone | ranked   |
      | 0   | n1       | none | n1 n2 n3 |
      | 0   | n1 n2    | n2   | n1 n3    |
      | 5   | n1       | none | n1       |
      | 5   | n1 n3    | none | n1 n3    |
