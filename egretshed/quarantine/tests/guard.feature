Feature: All nodes keep a quarantine until it ends

  # Guards against a node that sends a quarantined prompt because it was cut off or down
  # when the part was blamed, or because the store did not take the record at once.
  Scenario Outline: <trouble> while a part is blamed
    Given nodes "n1 n2 n3", of which "n1" places prompts
    And <trouble>
    When the engines crash three times at prompts with "x"
    And the trouble ends and <wait_s> s pass
    Then "<nodes>" refuse prompts with "x" and no others
    And the record of "x" is <record>

    Examples:
      | trouble                | wait_s | nodes    | record |
      | there is no trouble    | 0      | n1 n2 n3 | kept   |
      | "n2" is cut off        | 0      | n1 n3    | kept   |
      | "n2" restarts          | 1      | n1 n2 n3 | kept   |
      | all nodes restart      | 1      | n1 n2 n3 | kept   |
      | the store is away      | 1      | n1 n2 n3 | kept   |

  # Guards against a part that stays refused forever, and against one that crashes three
  # engines after each quarantine.
  Scenario Outline: <later> after a quarantine
    Given nodes "n1 n2 n3", of which "n1" places prompts
    When the engines crash three times at prompts with "x"
    And the trouble ends and 121 s pass
    And <later>
    Then "<nodes>" refuse prompts with "x" and no others
    And the record of "x" is <record>

    Examples:
      | later                                           | nodes    | record  |
      | nothing happens                                 | none     | removed |
      | an engine crashes at a prompt with "x"          | n1 n2 n3 | kept    |
      | "x" is answered and then an engine crashes      | none     | removed |
      | "x" is answered and then three engines crash    | n1 n2 n3 | kept    |
      | an engine crashes at "x", and 200 s pass        | n1 n2 n3 | kept    |
      | an engine crashes at "x", and 241 s pass        | none     | removed |

  # Guards against a request that is refused by some nodes or for some services only, and
  # against one that is refused although servers can run it.
  Scenario Outline: A request is blamed, and <event>
    Given nodes "n1 n2 n3", of which "n1" places prompts
    When servers crash three times at a request, and <event>
    Then "<nodes>" refuse the request for all services, and no others

    Examples:
      | event                                             | nodes    |
      | nothing happens                                   | n1 n2 n3 |
      | "n2" misses the notice                            | n1 n2 n3 |
      | the owner is lost before the third crash          | n2 n3    |
      | "n2" has run it to its end before the first crash | n1 n2 n3 |
      | "n2" runs it to its end after the first crash     | none     |
      | "n2" runs it to its end after the third crash     | none     |
      | its end is known to a node that was cut off       | none     |

  # Guards against a part that is blamed by a new owner for the crashes of a request.
  Scenario: The owner is lost after a request with shared parts was blamed
    Given nodes "n1 n2 n3", of which "n1" places prompts
    When servers crash three times at a prompt that shares "x"
    And "n2" becomes the owner, and a server crashes at another prompt that shares "x"
    Then "none" refuse prompts with "x" and no others

  # Guards against engines that crash for as long as the loss of the owner is not noticed.
  Scenario: The owner is lost, and nobody has noticed it yet
    Given nodes "n1 n2 n3", of which "n1" places prompts
    When the owner is lost, unnoticed, and engines crash 3 times at "x"
    Then "n2 n3" refuse prompts with "x" and no others

  # Guards against successors that blame a part that only the owner knows to be sound.
  Scenario Outline: Successors judge a part, and <event>
    Given nodes "n1 n2 n3", of which "n1" places prompts
    When engines crash twice at "x", and <event>, and an engine crashes at "x" again
    Then "<nodes>" refuse prompts with "x" and no others

    Examples:
      | event             | nodes |
      | nothing happens   | n2 n3 |
      | "x" is answered   | none  |

  # Guards against crashes that go on until a partition is noticed, since each node of
  # the smaller side knows only of the crashes that it has seen itself.
  Scenario: Two of seven nodes are cut off from those that get the reports
    Given nodes "n1 n2 n3 n4 n5 n6 n7", of which "n1" places prompts
    When "n6 n7" are cut off, and "n6 n7 n6" report one crash each at a request
    Then "n6 n7" refuse the request for all services, and no others

  # Guards against an input that crashes servers for as long as a caller keeps the table
  # of quarantines full, and against records of dropped ones that stay in the store.
  Scenario Outline: "x" is blamed after <count> other inputs
    Given nodes "n1 n2 n3", of which "n1" places prompts
    When <count> other requests are quarantined, and the engines crash three times at "x"
    Then "n1 n2 n3" refuse prompts with "x" and no others
    And no node keeps more than 256 quarantines, nor the store more records, after 60 s

    Examples:
      | count |
      | 255   |
      | 300   |
