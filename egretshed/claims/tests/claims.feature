Feature: A request id runs at most once and its outcome is stored

  # Guards against a second run (P6) and against answers that differ between nodes.
  Scenario Outline: <first>, then the id is submitted at <at>: <answer>
    Given nodes n1 and n2 that share one table
    When n1 claims "r1"
    And <first>
    Then claiming "r1" at <at> gives "<answer>"

    Examples:
      | first                     | at | answer                  |
      | nothing happens           | n1 | already_claimed running |
      | nothing happens           | n2 | already_claimed running |
      | n1 stores the outcome     | n1 | already_claimed done    |
      | n1 stores the outcome     | n2 | already_claimed done    |
      | n1 stores a large outcome | n2 | already_claimed done    |
      | n1 dies                   | n2 | already_claimed unknown |
      | n1 restarts               | n1 | already_claimed unknown |
      | the table goes down       | n1 | already_claimed running |
      | the table goes down       | n2 | not_run                 |

  # Guards against deciding a claim by an absent row while its write is in flight.
  Scenario Outline: The write of n1's claim <fault>
    Given nodes n1 and n2 that share one table
    When the next write <fault>
    And n1 requests a claim on "r1"
    And <then>
    Then n1's answer is "<answer>"
    And claiming "r1" at n2 gives "<other>"

    Examples:
      | fault                  | then                | answer  | other                   |
      | loses its reply        | nothing happens     | claimed | already_claimed running |
      | is lost                | nothing happens     | claimed | already_claimed running |
      | takes effect 5 s later | 8 s pass            | claimed | already_claimed running |
      | then the table is down | nothing happens     | not_run | not_run                 |
      | then the table is down | the table comes up  | not_run | already_claimed running |

  # Guards against a request id that stays claimed forever although it never ran.
  Scenario: A claim whose submission was refused is closed
    Given nodes n1 and n2 that share one table
    When the next write then the table is down
    And n1 requests a claim on "r1"
    And the table comes up
    And 15 s pass
    Then n1's answer is "not_run"
    And claiming "r1" at n2 gives "already_claimed done"
    And the outcome of "r1" at n2 has error "not_run"

  # Guards against issued ids that depend on the table, run twice, or run on other nodes.
  Scenario Outline: An issued id <event>, submitted at <at>: <answer>
    Given nodes n1 and n2 that share one table
    When n1 issues an id and the table goes down
    And <event>
    Then claiming the issued id at <at> gives "<answer>"

    Examples:
      | event                 | at | answer                  |
      | nothing happens       | n1 | claimed                 |
      | nothing happens       | n2 | unknown                 |
      | n1 claims it          | n2 | unknown                 |
      | n1 claims it          | n1 | already_claimed running |
      | n1 dies               | n2 | unknown                 |
      | n1 restarts           | n1 | unknown                 |
      | it has a wrong MAC    | n1 | invalid_request         |
      | customer d submits it | n1 | invalid_request         |

  # Guards against a caller that is told that its request did not run although a claim
  # proves that it may have, when only the outcome cannot be read.
  Scenario Outline: <first>, then <fault>, then <id> is submitted at <at>: <answer>
    Given nodes n1 and n2 that share one table
    When <first>
    And <fault>
    Then claiming <id> at <at> gives "<answer>"

    Examples:
      | first                             | fault                         | id            | at | answer                  |
      | n1 ran "r1" with a large outcome  | the stored objects are lost   | "r1"          | n2 | unknown                 |
      | n1 ran an issued id               | n1's outcome cache overflows  | the issued id | n1 | already_claimed done    |
      | n1 ran an issued id               | its outcome cannot be read    | the issued id | n1 | unknown                 |
      | n1 claims "r1"                    | n1's outcome backlog is full  | "r1"          | n1 | already_claimed running |
      | n1 claims an issued id            | n1's outcome backlog is full  | the issued id | n1 | already_claimed running |
      | nothing happens                   | n1's outcome backlog is full  | "r1"          | n1 | not_run                 |
      | n1 issues an id                   | n1's outcome backlog is full  | the issued id | n1 | not_run                 |

  # Guards against a discarded outcome that counts as the stored one.
  Scenario: The row of a claim belongs to another claim
    Given nodes n1 and n2 that share one table
    When n1 claims "r1"
    And the row of "r1" is replaced by that of another claim
    And n1 stores the outcome
    Then claiming "r1" at n1 gives "already_claimed unknown"

  # Guards against outcomes that are lost in an outage or replaced by a second one.
  Scenario: An outcome survives an outage and is written once
    Given nodes n1 and n2 that share one table
    When n1 claims "r1"
    And the table goes down
    And n1 stores the outcome
    And 60 s pass
    And the table comes up
    Then claiming "r1" at n2 gives "already_claimed done"
    And storing another outcome at n1 is refused

  # Guards against one transaction per claim, and against a group that fails as a whole
  # because one of its ids is claimed already.
  Scenario: Concurrent claims share a transaction
    Given nodes n1 and n2 that share one table
    When n2 claims "r7"
    And n1 claims r0 to r49 concurrently
    Then 49 are claimed by n1 and 1 is already claimed, in 2 more transactions

  # Guards against memory use that grows with each issued id.
  Scenario Outline: Numbers <numbers> are stored as <ranges> ranges
    When the numbers <numbers> are added to a set of at most 3 ranges
    Then it has <ranges> ranges that contain <used> but not <unused>

    Examples:
      | numbers   | ranges | used    | unused |
      | 1 2 3 4   | 1      | 1 4     | 5      |
      | 3 1 2     | 1      | 1 2 3   | 4      |
      | 1 5 3     | 3      | 1 3 5   | 2 4    |
      | 9 1 3 5   | 3      | 1 2 3 9 | 4 7    |
