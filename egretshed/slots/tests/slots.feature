Feature: Slots are lent within the limit of a server

  Scenario Outline: Fair allocation guards against <failure>
    When <slots> slots are allocated for demands "<wanted>" at rotation <rotation>
    Then the allocation is "<allocation>"

    Examples:
      | failure                            | slots | wanted      | rotation | allocation  |
      | a large borrower taking all        | 6     | a=9 b=9 c=1 | 0        | a=3 b=2 c=1 |
      | slots left unused                  | 6     | a=1 b=9     | 0        | a=1 b=5     |
      | more than is wanted                | 9     | a=1 b=2     | 0        | a=1 b=2     |
      | one borrower always coming first   | 1     | a=1 b=1     | 1        | a=0 b=1     |
      | a share of slots that do not exist | -2    | a=1 b=1     | 0        | a=0 b=0     |

  Scenario Outline: The lending share guards against <failure>
    When an owner reaches <reachable> of <listed> nodes, rounding up: <up>
    Then it lends <amount> of a limit of <limit>

    Examples:
      | failure                              | reachable | listed | up  | limit | amount |
      | a partition lending the whole limit  | 4         | 7      | yes | 2     | 2      |
      | the other side lending as well       | 3         | 7      | no  | 2     | 0      |
      | both halves rounding up              | 2         | 4      | no  | 3     | 1      |
      | a slot lost with all nodes reachable | 7         | 7      | yes | 2     | 2      |
      | a stale list giving more than all    | 9         | 7      | yes | 2     | 2      |
      | lending without any VM list          | 3         | 0      | yes | 2     | 0      |

  Scenario Outline: The wait after a rise of the share guards against <failure>
    Given an owner with a take-over wait of 6 s and a longest call of 3 s
    When its share is <first> then <second> after 20 s
    Then it lends <amount> of 6 after <later> more seconds

    Examples:
      | failure                                | first | second | later | amount |
      | two owners lending at once             | 0/4   | 4/4    | 5.9   | 0      |
      | a take-over that never ends            | 0/4   | 4/4    | 6.1   | 6      |
      | lending what the other side still runs | 2/4   | 4/4    | 8.9   | 3      |
      | a healed partition kept small          | 2/4   | 4/4    | 9.1   | 6      |
      | a lowered share applied late           | 4/4   | 2/4    | 0     | 3      |

  Scenario Outline: The warmth of a server guards against <failure>
    Given a server with limits 2 to 6 and 4 warm-up calls
    When its owner observes "<signs>"
    Then the limit is <limit>

    Examples:
      | failure                              | signs                                       | limit |
      | full load on an unknown server       |                                             | 2     |
      | a slow start after a change of owner | warm                                        | 6     |
      | load after a sign of coldness        | warm cold_sign                              | 2     |
      | an old report hiding a cold start    | warm cold_sign old_warm                     | 2     |
      | full load right after a cold start   | warm cold_sign warm                         | 2     |
      | a limit that never rises             | warm cold_sign warm calls=1 calls=3         | 4     |
      | calls counted from before the sign   | warm calls=9 cold_sign warm calls=99        | 2     |
      | doubled counts of calls              | warm cold_sign warm calls=1 calls=3 calls=3 | 4     |
      | an old cold report after warming     | warm old_cold                               | 6     |
      | a server that turns cold by itself   | warm cold                                   | 2     |
      | warming while the server says cold   | cold calls=1 calls=9 calls=11               | 2     |

  Scenario Outline: The ledger guards against <failure>
    Given a ledger whose borrower runs calls of up to 3 s
    When it processes "<steps>"
    Then it counts <committed> slots as committed

    Examples:
      | failure                                    | steps                                    | committed |
      | a late report freeing slots of new calls   | report:2:0:3 report:1:0:0                | 3         |
      | an unconfirmed lower grant counted as used | report:1:0:0 lend:4 lend:1               | 4         |
      | confirmed grants kept for ever             | report:1:0:0 lend:4 lend:1 confirm:2:1:0 | 1         |
      | slots that were given back staying lent    | report:1:0:0 lend:4 confirm:2:1:0        | 1         |
      | running calls lost by a lower grant        | report:1:0:0 lend:4 lend:1 confirm:2:1:3 | 3         |
      | slots of another owner's loan lent again   | report:1:2:0                             | 2         |
      | calls that outlive an expired loan         | report:1:0:0 lend:4 wait:4.9             | 4         |
      | slots of a dead borrower lost for ever     | report:1:0:0 lend:4 wait:5.1             | 0         |
      | lending more while calls exceed the limit  | report:1:0:5 lend:2 other:1              | 5         |

  Scenario Outline: The borrower guards against <failure>
    When a borrower receives "<steps>"
    Then it has <free> free slots at <now> s

    Examples:
      | failure                                 | steps                             | now | free |
      | a loan that ends too early              | reply:0:1:3                       | 1.9 | 3    |
      | a loan counted from its reply           | reply:0:1:3                       | 2.0 | 0    |
      | an old reply that undoes a revocation   | reply:0:1:3 lower:3:1 reply:0:2:3 | 0.5 | 1    |
      | a revocation that extends the loan      | reply:0:1:3 lower:2:1             | 2.0 | 0    |
      | a late revocation of an older loan      | reply:0:5:3 lower:2:1             | 0.5 | 3    |
      | an unasked reply that lends more        | reply:0:1:3 lower:2:9             | 0.5 | 3    |
      | a new owner's empty reply ending a loan | reply:0:1:3 other:0.1:9:0         | 0.5 | 3    |

  Scenario: Slots of a crashed borrower are not lent while its calls may run
    Guards against lending slots whose calls outlive a crashed borrower.
    Given 3 nodes that share a warm server
    When a node other than the owner runs 6 calls of 3 s and crashes
    And 2 s pass
    Then the owner counts 6 slots as committed
    When 4 s pass
    Then the owner counts 0 slots as committed

  Scenario: A new owner subtracts the calls that an earlier owner left running
    Guards against two owners that each lend the whole limit of a server.
    Given 3 nodes that share a warm server
    And calls may last 9 s
    When the owner runs 4 calls of 9 s
    And the owner crashes and the other nodes detect it
    And 5.9 s pass
    Then the new owner lends 0 slots
    When 1.1 s pass
    Then the new owner lends 2 slots
    When 10 s pass
    Then the new owner lends 6 slots

  Scenario Outline: The take-over wait guards against <failure>
    Given 3 nodes that share a warm server
    And a failed node is detected within <bound_s> s
    When the owner crashes and the other nodes detect it
    And <early_s> s pass
    Then the new owner lends 0 slots
    When 1.1 s pass
    Then the new owner lends 6 slots

    Examples:
      | failure                                             | bound_s | early_s |
      | an owner of a large fleet that lends until it knows | 12      | 13.9    |
      | a setting shortened by a small fleet                | 1       | 5.9     |

  Scenario: An owner that was paused lends nothing when it resumes
    Guards against two owners: another node may have taken over during the pause.
    Given 3 nodes that share a warm server
    When the owner is paused for 3 s
    Then the owner lends 0 slots
    When 6.5 s pass
    Then the owner lends 6 slots

  Scenario Outline: The owner of a cold server guards against <failure>
    Given 3 nodes that share a warm server
    When <calls> calls from another partition are running and the server turns cold
    And 1 s pass
    Then the owner lends <lent> slots

    Examples:
      | failure                                     | calls | lent |
      | adding to warm calls of the other partition | 4     | 0    |
      | a cold server left idle                     | 1     | 1    |

  Scenario: An owner whose membership is unsettled lends nothing
    Guards against lending under an unconfirmed membership view.
    Given 3 nodes that share a warm server
    When the owner's membership is unsettled for 1 s
    Then the owner lends 0 slots

  Scenario: A cold sign revokes loans at once
    Guards against a borrower that uses its loan until it expires.
    Given 3 nodes that share a warm server
    When a node other than the owner runs 4 calls of 1 s
    And a call with a cold sign ends on the owner
    Then the other node has no free slot
    When 2 s pass
    Then the owner's limit is 2

  Scenario: Returned loans free their slots before they expire
    Guards against idle slots after each graceful shutdown of a node.
    Given 3 nodes that share a warm server
    When a node other than the owner runs 2 calls of 0.1 s
    And 0.2 s pass
    And it returns its loans
    Then the owner counts 0 slots as committed
    And the other node has no free slot

  Scenario: An idle borrower's slots are free after a few renewals
    Guards against slots that stay reserved for the longest call while no call runs.
    Given 3 nodes that share a warm server
    When a node other than the owner runs 2 calls of 0.1 s
    And 1.8 s pass
    Then the owner counts 0 slots as committed

  Scenario: The owner borrows from itself without a message
    Guards against a node that depends on the network to use its own replicas.
    Given 3 nodes that share a warm server
    When the owner runs 2 calls of 0.5 s
    Then no message was sent

  Scenario Outline: <failure> stops new work on the server
    Guards against new work on a server that must not get any (P3, P7).
    Given 3 nodes that share a warm server
    When a node other than the owner runs 2 calls of 0.1 s
    And <failure>
    And 1 s pass
    Then the other node has no free slot
    And a new call of the other node gets no slot

    Examples:
      | failure                                     |
      | its failure domain is taken out             |
      | the server is draining                      |
      | the VM list says that the server leaves     |
      | the load report says that the server leaves |
      | membership is unsettled                     |

  Scenario: A server that answers no load poll counts as cold
    Guards against the warm limit on a server that turned cold while unreachable.
    Given 3 nodes that share a warm server
    When the server answers no load poll for 1.5 s
    Then the owner's limit is 2
    When the server answers load polls again for 1 s
    Then the owner's limit is 6

  Scenario: A call longer than the loan covers waits for a longer loan
    Guards against calls that run longer than the owner reserves their slots.
    Given 3 nodes that share a warm server
    When a node other than the owner requests a call of up to 20 s
    Then it gets no slot at first and one within 1 s

  Scenario: A busy borrower does not starve the others
    Guards against starvation on a cold server with fewer slots than borrowers.
    Given 3 nodes that share a cold server
    When all nodes keep running calls of 0.3 s for 20 s
    Then each node completed at least 10 calls

  Scenario: A borrower learns for how long a new owner lends nothing
    Guards against requests that wait until their deadline while no owner lends.
    Given 3 nodes that share a warm server
    When the owner crashes and the other nodes detect it
    And the remaining nodes request a slot and 1 s pass
    Then the owner tells them that it lends nothing for 5 s
    When 5.5 s pass
    And the remaining nodes request a slot and 1 s pass
    Then the owner tells them that it lends nothing for 0 s

  Scenario Outline: Handover of the ledger guards against <failure>
    Given 3 nodes that share a warm server
    And 8 s pass
    And a node other than the owner runs <calls> calls of 4 s
    When the owner leaves and <case>
    And <seconds> s pass
    Then the new owner counts <committed> slots as committed and lends <lent>

    Examples:
      | failure                                  | calls | case                          | seconds | committed | lent |
      | no new work for the take-over wait       | 0     | the others know at once       | 1       | 0         | 6    |
      | slots of the earlier owner lent again    | 4     | the others know at once       | 1       | 4         | 6    |
      | a ledger that is too old                 | 0     | the others know after 1.5 s   | 3       | 0         | 0    |
      | a lost answer taken for an empty ledger  | 4     | its answers are lost          | 3       | 4         | 0    |
      | a late answer, when others may have lent | 0     | its answers come after 0.7 s  | 3       | 0         | 0    |
      | an answer used after a pause             | 0     | the new owner pauses          | 3       | 0         | 0    |
      | an owner that was paused handing over    | 0     | it has paused just before     | 3       | 0         | 0    |
      | a pause after it stopped to lend         | 0     | it pauses before it answers   | 3       | 0         | 0    |
      | a pause between question and answer      | 0     | the new owner was interrupted | 3       | 0         | 0    |

  Scenario: Slots of a borrower that the new owner cannot reach are not lent again
    Guards against taking over a ledger without its loans.
    Given 3 nodes that share a warm server
    And 8 s pass
    When a node that will not be the new owner runs 4 calls of 4 s
    And the owner leaves and that node is cut off
    And 1 s pass
    Then the new owner counts 4 slots as committed and lends 6

  Scenario: A ledger is handed over to one process only
    Guards against two owners with the same ledger.
    Given 3 nodes that share a warm server
    And 8 s pass
    When the owner leaves and the others know at once
    And 0.6 s pass
    Then the earlier owner hands its ledger over to no other process

  Scenario Outline: Taking over an earlier owner's share guards against <failure>
    Given an owner with a take-over wait of 6 s and a longest call of 3 s
    When its share is <first> then <second> after 7 s
    And it takes over from an owner with the share <earlier>
    Then it lends <amount> of 6 after 1 more seconds

    Examples:
      | failure                                | first | second | earlier | amount |
      | a wait although the ledger is known    | 0/4   | 4/4    | 4/4     | 6      |
      | more than the earlier owner could lend | 0/4   | 4/4    | 2/4     | 3      |
      | more than the own share                | 0/4   | 2/4    | 4/4     | 3      |

  Scenario Outline: A share that is <state> guards against an incomplete ledger
    Given an owner with a take-over wait of 6 s and a longest call of 3 s
    When its share is <first> then <second> after 7 s
    Then after <later> s its share is <state>

    Examples:
      | first | second | later | state      |
      | 4/4   | 4/4    | 1     | steady     |
      | 2/4   | 4/4    | 1     | not steady |
      | 2/4   | 4/4    | 9.5   | steady     |
      | 0/4   | 4/4    | 1     | not steady |
